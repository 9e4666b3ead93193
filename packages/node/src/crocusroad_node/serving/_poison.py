"""The crash guard of an instance, over its book of crashes."""

import asyncio
from collections.abc import Awaitable, Callable

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import Policy
from crocusroad_core.poison import (
    PoisonTracker,
    canary_order,
    compute_fingerprint,
    suspect_upstreams,
)
from crocusroad_core.refusals import Refusal
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.serving._crash_guard import CrashGuard, Way
from crocusroad_node.serving._crash_watch import CrashWatch
from crocusroad_node.upstreams import Upstreams
from crocusroad_wire import CrashReport

REPORT_SECONDS = 0.1  # the longest wait for the acknowledgements of a report

# Sends a report to every other instance; returns when they acknowledged.
Publish = Callable[[CrashReport], Awaitable[None]]


def build_crash_guard(tracker: PoisonTracker, publish: Publish) -> CrashGuard:
    """Return the guard that stops requests which crash upstreams.

    Args:
        tracker: What this instance knows; reports of others go to it as well.
        publish: Tells the other instances; given up after
            `REPORT_SECONDS`, so that a cut network delays no answer longer.
    """

    async def tell(report: CrashReport) -> None:
        POISON_EVENTS.labels('reported').inc()
        try:
            async with asyncio.timeout(REPORT_SECONDS):
                await publish(report)
        except TimeoutError:
            POISON_EVENTS.labels('report-unacknowledged').inc()

    def check(call: SearchCall) -> Refusal | None:
        return tracker.check(_print_of(call), _now())

    def needs_canary(call: SearchCall) -> bool:
        is_needed = tracker.needs_canary(_print_of(call), _now())
        POISON_EVENTS.labels('canary' if is_needed else 'cleared').inc()
        return is_needed

    def steer(
        call: SearchCall,
        shard_map: ShardMap,
        policy: Policy,
        upstreams: Upstreams,
    ) -> Way:
        print_ = _print_of(call)
        watch = CrashWatch(
            upstreams,
            tracker,
            print_,
            frozenset(suspect_upstreams(print_, shard_map)),
            tell,
        )
        if not watch.is_alone:
            return Way(shard_map, policy, watch)
        order = canary_order(print_, shard_map)
        shards = {part.shard: part.replicas for part in order}
        ordered = ShardMap(shard_map.version, shards)
        return Way(ordered, _canary_policy(policy, ordered, watch), watch)

    return CrashGuard(
        needs_canary=needs_canary,
        lost=lambda call, attempt, reason, now: None,
        ended=lambda call, finish: None,
        check=check,
        steer=steer,
    )


def _canary_policy(
    policy: Policy,
    shard_map: ShardMap,
    watch: CrashWatch,
) -> Policy:
    """Choose by the order of the shard map until the canary answers.

    A replica that the policy would not take alone is passed over.
    """

    def pick(
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        if not watch.is_alone:
            return policy.pick(shard, candidates, now)
        if policy.pick(shard, candidates, now) is None:
            return None  # asked with all first: it learns the shard from them
        order = shard_map.shards.get(shard, candidates)
        kept = [one for one in order if one in candidates]
        # The router refuses a replica that leaves while another stays.
        willing = [one for one in kept if policy.pick(shard, (one,), now)]
        return watch.prefer(willing, now)

    def hedge_delay(shard: str, now: float) -> float | None:
        if watch.is_alone and watch.is_suspect(now):
            return None
        return policy.hedge_delay(shard, now)

    return policy._replace(pick=pick, hedge_delay=hedge_delay)


def _print_of(call: SearchCall) -> str:
    request = call.request
    body = [request['query'], request.get('limit')]
    return compute_fingerprint(call.front, request['kind'], body)


def _now() -> float:
    return asyncio.get_running_loop().time()
