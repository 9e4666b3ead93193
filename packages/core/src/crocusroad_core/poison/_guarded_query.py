"""One query under the guard against requests that crash upstreams."""

from collections.abc import Callable, Iterable
from functools import cached_property

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import Policy
from crocusroad_core.poison._tracked_run import TrackedRun
from crocusroad_core.poison._tracker import PoisonTracker
from crocusroad_wire import CrashReport


class GuardedQuery:
    """The runs of one query, and what they tell about its fingerprint.

    While a canary is pending the query runs on one upstream at a time. A
    suspect that runs as a canary runs only on the `canary_upstreams`; None
    means on any. The fingerprint is computed when it is first needed: hashing a
    large body takes time.
    """

    def __init__(
        self,
        tracker: PoisonTracker,
        compute_fingerprint: Callable[[], str],
        *,
        is_canary_pending: bool,
        canary_upstreams: frozenset[str] | None = None,
    ) -> None:
        self.is_canary_pending = is_canary_pending
        self._tracker = tracker
        self._compute_fingerprint = compute_fingerprint
        self._canary_upstreams = canary_upstreams

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request."""
        return self._compute_fingerprint()

    def is_suspect(self, now: float) -> bool:
        """Return whether the query recently crashed an upstream."""
        return self._tracker.has_suspects and self._tracker.is_suspect(
            self.fingerprint, now
        )

    def choose_canary(
        self, candidates: Iterable[Replica], now: float
    ) -> Replica | None:
        """Return the first replica that the query has not crashed.

        If it crashed all of them, return the first, or None if there is none.
        A second crash of the same replica is no further evidence.
        """
        ordered = self._uncrashed_first(candidates, now)
        return ordered[0] if ordered else None

    def allowed_replicas(
        self, candidates: tuple[Replica, ...], now: float
    ) -> tuple[Replica, ...]:
        """Return the replicas on which an attempt may begin now.

        These are all of them unless the query is a suspect. If it has not
        crashed all of them, those that it crashed are left out.
        """
        if not self.is_suspect(now):
            return candidates
        allowed = [
            replica for replica in candidates if self._may_run(replica, now)
        ]
        crashed = self._tracker.crashed_upstreams(self.fingerprint, now)
        fresh = [replica for replica in allowed if replica.name not in crashed]
        return tuple(fresh or allowed)

    def begin_run(self, upstream: str, now: float) -> TrackedRun | None:
        """Begin a run, or return None if the query may not run there."""
        tracker = self._tracker
        if tracker.check(self.fingerprint, now) is not None:
            return None
        if not self._is_canary_upstream(upstream, now):
            return None
        return tracker.begin_run(self.fingerprint, upstream, now)

    def end_run(self, run: TrackedRun) -> None:
        """End a run; each run has to be ended exactly once."""
        self._tracker.end_run(run)

    def on_answer(self, now: float) -> None:
        """Record that an upstream answered: the query does not crash it."""
        self.is_canary_pending = False
        self._tracker.on_answer(self.fingerprint, now)

    def on_crash(
        self, upstream: str, now: float, *, ran_alone: bool
    ) -> CrashReport | None:
        """Record that an upstream crashed while it ran the query.

        `ran_alone` tells whether the query ran on no other upstream. Returns
        the report for the other instances, or None if the crash adds nothing
        to the evidence.
        """
        return self._tracker.on_crash(
            self.fingerprint, upstream, now, is_canary=ran_alone
        )

    def _may_run(self, replica: Replica, now: float) -> bool:
        tracker = self._tracker
        return (
            tracker.check(self.fingerprint, now) is None
            and self._is_canary_upstream(replica.name, now)
            and tracker.may_run(self.fingerprint, replica.name)
        )

    def _is_canary_upstream(self, upstream: str, now: float) -> bool:
        upstreams = self._canary_upstreams
        if upstreams is None or not self.is_canary_pending:
            return True
        return upstream in upstreams or not self.is_suspect(now)

    def _uncrashed_first(
        self, candidates: Iterable[Replica], now: float
    ) -> list[Replica]:
        crashed = self._tracker.crashed_upstreams(self.fingerprint, now)
        return sorted(candidates, key=lambda replica: replica.name in crashed)


def guard_policy(policy: Policy, query: GuardedQuery) -> Policy:
    """Return the policy, restricted to what the guard allows a suspect."""

    def pick(
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        allowed = query.allowed_replicas(candidates, now)
        return policy.pick(shard, allowed, now) if allowed else None

    def hedge_delay(shard: str, now: float) -> float | None:
        if query.is_suspect(now):
            return None
        return policy.hedge_delay(shard, now)

    return policy._replace(pick=pick, hedge_delay=hedge_delay)
