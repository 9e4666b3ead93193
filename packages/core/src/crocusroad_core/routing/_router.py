"""Selection of replicas for the sub-requests of one instance."""

from collections.abc import Callable, Iterable
from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.routing._health_report import HealthReport
from crocusroad_core.routing._latency_histogram import LatencyHistogram
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._replica_table import (
    ReplicaKey,
    ReplicaTable,
    replica_key,
)
from crocusroad_core.routing._shard_candidates import ShardCandidates
from crocusroad_core.routing._two_choices import power_of_two_choices
from crocusroad_core.routing._zone_latency import ZoneLatencies

FULL_LOAD: Final = 2.0  # assumed load of a replica that refuses as full

_FAILURES: Final = frozenset(
    (
        FailureReason.connect_refused,
        FailureReason.connect_timeout,
        FailureReason.silent,
        FailureReason.broken,
        FailureReason.garbled,
        FailureReason.crossed,
        FailureReason.failed,
    ),
)
# Seconds without work for a replica that refuses because it is full.
_PAUSES: Final = {
    FailureReason.shed: 0.1,
    FailureReason.no_connection: 0.5,
}


def _no_cost(replica: Replica) -> float:
    return 0


class Router:
    """Selects replicas by the state that it keeps for each of them.

    `draw` returns floats in [0, 1). `reach_cost` returns the cost of reaching
    a replica in addition to its latency, in seconds, such as the time to open
    a connection.
    """

    def __init__(
        self,
        zone: str,
        draw: Callable[[], float],
        reach_cost: Callable[[Replica], float] = _no_cost,
    ) -> None:
        self._draw = draw
        self._reach_cost = reach_cost
        self._replicas = ReplicaTable(ZoneLatencies(zone))
        self._shard_histograms: dict[str, LatencyHistogram] = {}
        self._candidates: dict[str, ShardCandidates] = {}  # by shard
        # The histogram of the shard that a replica serves.
        self._replica_histograms: dict[ReplicaKey, LatencyHistogram] = {}
        self._peers = 0  # other live instances

    def pick(
        self,
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        """Return the replica to send an attempt to, or None.

        `shard` names the shard uniquely over all fronts. An absent replica is
        never picked. A leaving replica is picked only if all replicas of the
        shard are leaving.
        """
        if not candidates:
            return None
        known = self._shard_candidates(shard, candidates, now)
        states = [
            candidate
            for candidate in known.states_of(candidates)
            if not candidate.is_absent(now)
        ]
        if not states:
            return None
        staying = [
            candidate for candidate in states if not candidate.is_leaving(now)
        ]
        if staying:
            return self._choose(staying, now)
        if all(candidate.is_leaving(now) for candidate in known.states):
            return self._choose(states, now)
        return None

    def hedge_delay(self, shard: str, now: float) -> float:
        """Return the seconds after which an attempt at a shard is hedged."""
        return self._histogram(shard).hedge_delay

    def low_budget_hedge_delay(self, shard: str, now: float) -> float:
        """Return the hedge delay in seconds while the budget is scarce."""
        return self._histogram(shard).low_budget_hedge_delay

    def expected_seconds(self, replica: Replica, now: float) -> float:
        """Return the expected seconds until a replica answers an attempt."""
        state = self._replicas.state(replica, now)
        return state.expected_seconds(self._peers, now)

    def is_leaving(self, replica: Replica, now: float) -> bool:
        """Return whether the replica is listed as leaving or drains."""
        return self._replicas.state(replica, now).is_leaving(now)

    def on_sent(self, replica: Replica, now: float) -> None:
        """Record the start of an attempt."""
        self._replicas.state(replica, now).record_sent(now)

    def on_reply(
        self,
        replica: Replica,
        latency: float,
        load: float | None,
        now: float,
    ) -> None:
        """Record a complete answer, its latency and the load it reports."""
        state = self._replicas.state(replica, now)
        state.load.record_done()
        state.record_answer(latency, now)
        if load is not None:
            state.load.record_report(load, replica.slots, now)
        state.zone.record(latency)
        histogram = self._replica_histograms.get(replica_key(replica))
        if histogram is not None:
            histogram.record(latency)

    def on_failure(
        self,
        replica: Replica,
        reason: FailureReason,
        latency: float,
        now: float,
    ) -> None:
        """Record the end of an attempt that brought no answer."""
        state = self._replicas.state(replica, now)
        state.load.record_done()
        state.reset_overdue(now)
        if reason in _FAILURES:
            state.record_failure(now)
        elif reason in _PAUSES:
            state.record_full(_PAUSES[reason], now)
            if reason is FailureReason.shed:
                state.failure_rate.update(now, is_failure=True)
            state.load.record_report(FULL_LOAD, replica.slots, now)
        elif reason is FailureReason.draining:
            state.record_drain(now)
        elif reason is FailureReason.not_here:
            state.record_absent(now)
        if reason.may_have_run:
            state.record_min_latency(latency, now)

    def on_abandoned(
        self,
        replica: Replica,
        waited: float,
        now: float,
    ) -> None:
        """Record that an attempt is abandoned; the replica continues it.

        `waited` is the time in seconds that it was waited for.
        """
        state = self._replicas.state(replica, now)
        state.load.record_done()
        state.record_min_latency(waited, now)

    def on_abandoned_end(
        self,
        replica: Replica,
        now: float,
        *,
        is_answered: bool,
    ) -> None:
        """Record the end of an attempt that was abandoned before."""
        state = self._replicas.state(replica, now)
        if is_answered:
            state.reset_overdue(now)
        else:
            state.record_failure(now)

    def on_draining(self, replica: Replica, now: float) -> None:
        """Record a drain signal that came with an answer."""
        self._replicas.state(replica, now).record_drain(now)

    def on_health(
        self,
        replica: Replica,
        report: HealthReport,
        now: float,
    ) -> None:
        """Record the report of a health endpoint."""
        state = self._replicas.state(replica, now)
        state.load.record_report(report.load, replica.slots, now)
        if report.is_draining:
            state.record_drain(now)
        state.record_health(is_healthy=report.is_healthy, now=now)

    def on_leaving(self, names: Iterable[str], now: float) -> None:
        """Replace the names and addresses listed as leaving.

        The list comes from the platform.
        """
        self._replicas.on_leaving(names)

    def on_instances(self, live_count: int, now: float) -> None:
        """Set the number of live instances, including this one."""
        self._peers = max(0, live_count - 1)

    def on_front(
        self,
        front: str,
        replicas: Iterable[Replica],
        now: float,
    ) -> None:
        """Replace the replicas of a front and drop the state of former ones."""
        if self._replicas.on_front(front, replicas, now):
            self._candidates.clear()
            self._replica_histograms.clear()

    def _choose(self, states: list[ReplicaState], now: float) -> Replica:
        if states[0].group.is_in_panic_mode(now):
            return power_of_two_choices(states, _own_load, self._draw).replica
        peers = self._peers
        ready = [candidate for candidate in states if candidate.is_ready(now)]
        return power_of_two_choices(
            ready or states,
            lambda candidate: (
                candidate.score(peers, now)
                + self._reach_cost(candidate.replica)
            ),
            self._draw,
        ).replica

    def _histogram(self, shard: str) -> LatencyHistogram:
        histogram = self._shard_histograms.get(shard)
        if histogram is None:
            histogram = LatencyHistogram()
            self._shard_histograms[shard] = histogram
        return histogram

    def _shard_candidates(
        self,
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> ShardCandidates:
        known = self._candidates.get(shard)
        if known is None or not known.covers(candidates, now):
            states = [
                self._replicas.state(candidate, now) for candidate in candidates
            ]
            histogram = self._histogram(shard)
            known = ShardCandidates(candidates, states, now)
            self._candidates[shard] = known
            self._replica_histograms |= {
                replica_key(candidate): histogram for candidate in candidates
            }
        return known


def _own_load(state: ReplicaState) -> float:
    return state.load.in_flight / state.replica.slots
