"""Routing of the sub-requests of one instance."""

from collections.abc import Callable, Iterable
from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.routing._health_report import HealthReport
from crocusroad_core.routing._latency_histogram import LatencyHistogram
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._replica_table import Key, Replicas, key_of
from crocusroad_core.routing._shard_candidates import ShardView
from crocusroad_core.routing._two_choices import least_of_few
from crocusroad_core.routing._zone_latency import Zones

SHED_LOAD: Final = 2.0

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
# Seconds without work after a refusal for want of room.
_PAUSES: Final = {
    FailureReason.shed: 0.1,
    FailureReason.no_connection: 0.5,
}


def _no_cost(replica: Replica) -> float:
    return 0


class Router:
    """State of every replica, and the choice among candidates by it.

    `draw` gives floats in [0, 1). `reach_cost` gives what reaching a
    replica costs beside its latency, in seconds.
    """

    def __init__(
        self,
        zone: str,
        draw: Callable[[], float],
        reach_cost: Callable[[Replica], float] = _no_cost,
    ) -> None:
        self._draw = draw
        self._reach_cost = reach_cost
        self._replicas = Replicas(Zones(zone))
        self._tracks: dict[str, LatencyHistogram] = {}  # by shard
        self._views: dict[str, ShardView] = {}  # by shard
        self._tracked: dict[Key, LatencyHistogram] = {}  # by replica
        self._peers = 0  # other live instances

    def pick(
        self,
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        """Return the replica to ask, or None if each one is leaving.

        `shard` names the shard uniquely over all fronts. A leaving replica is
        chosen only if all replicas of the shard are leaving.
        """
        if not candidates:
            return None
        view = self._view(shard, candidates, now)
        states = [
            one for one in view.states_of(candidates) if not one.is_absent(now)
        ]
        if not states:
            return None
        staying = [one for one in states if not one.is_leaving(now)]
        if staying:
            return self._choose(staying, now)
        if all(one.is_leaving(now) for one in view.states):
            return self._choose(states, now)
        return None

    def hedge_delay(self, shard: str, now: float) -> float:
        """Return the seconds after which an attempt of a shard is slow."""
        return self._track(shard).hedge_delay

    def low_budget_hedge_delay(self, shard: str, now: float) -> float:
        """Return the seconds after which an attempt is very slow."""
        return self._track(shard).low_budget_hedge_delay

    def is_leaving(self, replica: Replica, now: float) -> bool:
        """Tell whether any sign says that the replica is leaving."""
        return self._replicas.state(replica, now).is_leaving(now)

    def on_sent(self, replica: Replica, now: float) -> None:
        """Take the start of an attempt."""
        self._replicas.state(replica, now).take_sent(now)

    def on_reply(
        self,
        replica: Replica,
        latency: float,
        load: float | None,
        now: float,
    ) -> None:
        """Take a whole answer, its latency and the load it reports."""
        state = self._replicas.state(replica, now)
        state.load.take_done()
        state.take_answer(latency, now)
        if load is not None:
            state.load.take_report(load, replica.slots, now)
        state.zone.record(latency)
        track = self._tracked.get(key_of(replica))
        if track is not None:
            track.record(latency)

    def on_lost(
        self,
        replica: Replica,
        reason: FailureReason,
        latency: float,
        now: float,
    ) -> None:
        """Take the end of an attempt that brought no answer."""
        state = self._replicas.state(replica, now)
        state.load.take_done()
        state.take_life(now)
        if reason in _FAILURES:
            state.take_failure(now)
        elif reason in _PAUSES:
            state.take_full(_PAUSES[reason], now)
            if reason is FailureReason.shed:
                state.losses.take(now, is_lost=True)
            state.load.take_report(SHED_LOAD, replica.slots, now)
        elif reason is FailureReason.draining:
            state.take_drain(now)
        elif reason is FailureReason.not_here:
            state.take_absence(now)
        if reason.may_have_run:
            state.take_slower(latency, now)

    def on_abandoned(
        self,
        replica: Replica,
        waited: float,
        now: float,
    ) -> None:
        """Take that an attempt is waited for no more; it goes on there."""
        state = self._replicas.state(replica, now)
        state.load.take_done()
        state.take_slower(waited, now)

    def on_abandoned_end(
        self,
        replica: Replica,
        now: float,
        *,
        is_answered: bool,
    ) -> None:
        """Take the end of an attempt that was abandoned."""
        state = self._replicas.state(replica, now)
        if is_answered:
            state.take_life(now)
        else:
            state.take_failure(now)

    def on_draining(self, replica: Replica, now: float) -> None:
        """Take a sign of leaving that came with an answer."""
        self._replicas.state(replica, now).take_drain(now)

    def on_health(
        self,
        replica: Replica,
        report: HealthReport,
        now: float,
    ) -> None:
        """Take the report of a health endpoint."""
        state = self._replicas.state(replica, now)
        state.load.take_report(report.load, replica.slots, now)
        if report.is_draining:
            state.take_drain(now)
        state.take_health(is_healthy=report.is_healthy, now=now)

    def on_leaving(self, names: Iterable[str], now: float) -> None:
        """Take the names or addresses that the platform lists as leaving."""
        self._replicas.on_leaving(names)

    def on_instances(self, live_count: int, now: float) -> None:
        """Take the number of live instances, this one included."""
        self._peers = max(0, live_count - 1)

    def on_front(
        self,
        front: str,
        replicas: Iterable[Replica],
        now: float,
    ) -> None:
        """Take the replicas that a front names, and forget its former ones."""
        if self._replicas.on_front(front, replicas, now):
            self._views.clear()
            self._tracked.clear()

    def _choose(self, states: list[ReplicaState], now: float) -> Replica:
        if states[0].group.is_in_doubt(now):
            return least_of_few(states, _own_share, self._draw).replica
        peers = self._peers
        ready = [one for one in states if one.is_ready(now)]
        return least_of_few(
            ready or states,
            lambda one: one.score(peers, now) + self._reach_cost(one.replica),
            self._draw,
        ).replica

    def _track(self, shard: str) -> LatencyHistogram:
        track = self._tracks.get(shard)
        if track is None:
            track = LatencyHistogram()
            self._tracks[shard] = track
        return track

    def _view(
        self,
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> ShardView:
        view = self._views.get(shard)
        if view is None or not view.take(candidates, now):
            states = [self._replicas.state(one, now) for one in candidates]
            track = self._track(shard)
            view = ShardView(candidates, states, now)
            self._views[shard] = view
            self._tracked |= {key_of(one): track for one in candidates}
        return view


def _own_share(state: ReplicaState) -> float:
    return state.load.in_flight / state.replica.slots
