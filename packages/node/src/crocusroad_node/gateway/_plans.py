"""What a request asks of its replicas, by its route."""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather import Plan
from crocusroad_core.routes import Route, RouteTable
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._request import CallerRequest

MS_PER_SECOND: Final = 1000
# An answer takes this long to the caller and into its hands, in seconds: a
# link between zones and back, and the work on the way.
WAY_BACK_SECONDS: Final = 0.007

# A hedge is answered within this share of the objective at the soonest.
HEDGE_SHARE: Final = 0.15


class Target(NamedTuple):
    """Where a request goes."""

    table: RouteTable
    route: Route
    shards: tuple[str, ...]  # services; one of them for requests to one


class Allowance(NamedTuple):
    """How replicas may be asked for a request."""

    max_replicas: int  # of each shard
    is_repeat: bool = False  # another instance may have asked one already


def deadline_of(req: CallerRequest, route: Route, header: bytes) -> float:
    """Return when the caller, or the operator, lets the request end."""
    text = req.header(header)
    allowed = route.timeout_seconds
    if text.isdigit():
        allowed = min(allowed, int(text) / MS_PER_SECOND)
    return req.received_at + allowed - WAY_BACK_SECONDS


def build_plan(
    target: Target,
    directory: Directory,
    req_times: 'Times',
    margin: float,
    allowance: Allowance,
) -> Plan:
    """Return the plan of a request over the shards of one configuration."""
    route = target.route
    shards = {name: directory.replicas(name) for name in target.shards}
    answer_by = req_times.received + route.objective_seconds - margin
    return Plan(
        shard_map=ShardMap(target.table.version, shards),
        limit=route.top_k,
        deadline=req_times.deadline,
        is_repeatable=route.is_repeatable,
        merge=merge_greatest if route.is_fan_out else take_single,
        max_replicas=allowance.max_replicas,
        is_retry=allowance.is_repeat,
        min_shard_ratio=route.min_shard_ratio if route.is_fan_out else 1,
        answer_by=answer_by,
        min_hedge_seconds=HEDGE_SHARE * route.objective_seconds,
    )


class Times(NamedTuple):
    """The moments of a request, in seconds of the steady clock."""

    received: float
    deadline: float


def split_records(response: Response, size: int) -> list[object]:
    """Return the whole records of a shard's answer."""
    body = response.body
    whole = len(body) - len(body) % size
    return [body[start : start + size] for start in range(0, whole, size)]


def whole_response(response: Response) -> list[object]:
    """Return a response as the only record of its answer."""
    return [response]


def merge_greatest(parts: Iterable[list[Any]], limit: int) -> list[Any]:
    """Return the greatest records, greatest first; equal ones all count."""
    every = [record for part in parts for record in part]
    every.sort(reverse=True)
    return every[:limit]


def take_single(parts: Iterable[list[Any]], limit: int) -> list[Any]:
    """Return what the one replica answered."""
    return [one for part in parts for one in part]
