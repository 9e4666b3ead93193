"""The crash guard of an instance, based on its poison tracker."""

import asyncio
from collections.abc import Awaitable, Callable

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import Policy
from crocusroad_core.poison import (
    GuardedQuery,
    PoisonTracker,
    canary_order,
    compute_fingerprint,
    suspect_upstreams,
)
from crocusroad_core.refusals import Refusal
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.serving._crash_guard import CrashGuard, QueryContext
from crocusroad_node.serving._crash_tracking import CrashTrackingUpstreams
from crocusroad_node.upstreams import Upstreams
from crocusroad_wire import CrashReport

REPORT_TIMEOUT_SECONDS = 0.1  # to wait for acknowledgements of a report

# Sends a report to every other instance and returns when all acknowledged it.
Publish = Callable[[CrashReport], Awaitable[None]]


def build_crash_guard(tracker: PoisonTracker, publish: Publish) -> CrashGuard:
    """Return a guard that stops requests which crash upstreams.

    Args:
        tracker: The crashes known to this instance. The caller passes it
            the reports of other instances as well.
        publish: Reports a crash to the other instances. It is cancelled after
            `REPORT_TIMEOUT_SECONDS`, which bounds the delay of an answer
            during a network partition.
    """

    async def publish_report(report: CrashReport) -> None:
        POISON_EVENTS.labels('reported').inc()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                await publish(report)
        except TimeoutError:
            POISON_EVENTS.labels('report-unacknowledged').inc()

    def check(call: SearchCall) -> Refusal | None:
        return tracker.check(_compute_fingerprint(call), _now())

    def needs_canary(call: SearchCall) -> bool:
        is_needed = tracker.needs_canary(_compute_fingerprint(call), _now())
        POISON_EVENTS.labels('canary' if is_needed else 'cleared').inc()
        return is_needed

    def prepare(
        call: SearchCall,
        shard_map: ShardMap,
        policy: Policy,
        upstreams: Upstreams,
    ) -> QueryContext:
        fingerprint = _compute_fingerprint(call)
        guarded = GuardedQuery(
            tracker,
            lambda: fingerprint,
            is_canary_pending=tracker.needs_canary(fingerprint, _now()),
            canary_upstreams=frozenset(
                suspect_upstreams(fingerprint, shard_map)
            ),
        )
        tracked = CrashTrackingUpstreams(upstreams, guarded, publish_report)
        if not guarded.is_canary_pending:
            return QueryContext(shard_map, policy, tracked)
        order = canary_order(fingerprint, shard_map)
        shards = {entry.shard: entry.replicas for entry in order}
        ordered = ShardMap(shard_map.version, shards)
        return QueryContext(
            ordered, _canary_policy(policy, ordered, guarded), tracked
        )

    return CrashGuard(
        needs_canary=needs_canary,
        on_attempt_failure=lambda call, attempt, reason, now: None,
        on_query_end=lambda call, finish: None,
        check=check,
        prepare=prepare,
    )


def _canary_policy(
    policy: Policy,
    shard_map: ShardMap,
    guarded: GuardedQuery,
) -> Policy:
    """Return a policy that picks in canary order until the canary answers.

    It skips a replica that the given policy refuses as the only candidate.
    """

    def pick(
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        if not guarded.is_canary_pending:
            return policy.pick(shard, candidates, now)
        # The policy gets all candidates first, because it learns from them
        # which replicas the shard has.
        if policy.pick(shard, candidates, now) is None:
            return None
        order = shard_map.shards.get(shard, candidates)
        remaining = [replica for replica in order if replica in candidates]
        # The router refuses a departing replica while another one remains.
        accepted = [
            replica
            for replica in remaining
            if policy.pick(shard, (replica,), now)
        ]
        return guarded.choose_canary(accepted, now)

    def hedge_delay(shard: str, now: float) -> float | None:
        if guarded.is_canary_pending and guarded.is_suspect(now):
            return None
        return policy.hedge_delay(shard, now)

    return policy._replace(pick=pick, hedge_delay=hedge_delay)


def _compute_fingerprint(call: SearchCall) -> str:
    request = call.request
    body = [request['query'], request.get('limit')]
    return compute_fingerprint(call.front, request['kind'], body)


def _now() -> float:
    return asyncio.get_running_loop().time()
