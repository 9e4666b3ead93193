"""Query plans: the target, deadline and merge function of a request."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather import Plan
from crocusroad_core.routes import Route, RouteTable
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._request import CallerRequest

MS_PER_SECOND: Final = 1000
# Time for an answer to be written and read, without the way to the caller.
ANSWER_PROCESSING_SECONDS: Final = 0.004

# Least time until a hedge is answered, as a share of the latency objective.
MIN_HEDGE_SHARE: Final = 0.15


class Target(NamedTuple):
    """The route of a request and the services to query."""

    table: RouteTable
    route: Route
    shards: tuple[str, ...]  # services; a single one unless it fans out


class AttemptLimits(NamedTuple):
    """Limits on the attempts of a query."""

    max_replicas: int  # for each shard
    is_retry: bool = False  # whether a coordinator may have run first attempts


def request_deadline(req: CallerRequest, route: Route, header: bytes) -> float:
    """Return the time by which the answer has to be sent.

    This is the earlier of the caller's deadline and the route's timeout.
    """
    timeout_header = req.header(header)
    timeout_seconds = route.timeout_seconds
    if timeout_header.isdigit():
        timeout_seconds = min(
            timeout_seconds, int(timeout_header) / MS_PER_SECOND
        )
    return req.asked_at + timeout_seconds - ANSWER_PROCESSING_SECONDS


def build_plan(
    target: Target,
    directory: Directory,
    times: 'RequestTimes',
    margin: float,
    limits: AttemptLimits,
) -> Plan:
    """Return the plan of a query over the shards of one configuration."""
    route = target.route
    shards = {name: directory.replicas(name) for name in target.shards}
    answer_by = times.asked_at + route.objective_seconds - margin
    return Plan(
        shard_map=ShardMap(target.table.version, shards),
        limit=route.top_k,
        deadline=times.deadline,
        is_repeatable=route.is_repeatable,
        merge=merge_greatest if route.is_fan_out else merge_single,
        max_replicas=limits.max_replicas,
        asks_again_after_loss=route.is_repeatable,
        is_retry=limits.is_retry,
        min_shard_ratio=route.min_shard_ratio if route.is_fan_out else 1,
        answer_by=answer_by,
        min_hedge_seconds=MIN_HEDGE_SHARE * route.objective_seconds,
    )


class RequestTimes(NamedTuple):
    """Times of a request, in seconds of the monotonic clock."""

    asked_at: float  # see CallerRequest
    deadline: float


def split_records(response: Response, size: int) -> list[object]:
    """Return the complete records in a shard's answer."""
    body = response.body
    end = len(body) - len(body) % size
    return [body[start : start + size] for start in range(0, end, size)]


def as_single_record(response: Response) -> list[object]:
    """Return the response itself as the only record."""
    return [response]


def merge_greatest(answers: Iterable[list[Any]], limit: int) -> list[Any]:
    """Return the greatest records in descending order, with duplicates."""
    records = [record for answer in answers for record in answer]
    records.sort(reverse=True)
    return records[:limit]


def merge_single(answers: Iterable[list[Any]], limit: int) -> list[Any]:
    """Return the records of the only replica that was queried."""
    return [record for answer in answers for record in answer]
