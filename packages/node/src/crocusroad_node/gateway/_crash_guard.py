"""The guard of a gateway against requests that crash replicas."""

import logging
from collections.abc import Callable

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import Policy
from crocusroad_core.poison import (
    GuardedQuery,
    PoisonTracker,
    TrackedRun,
    compute_fingerprint,
    guard_policy,
)
from crocusroad_core.refusals import Refusal
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import log_event
from crocusroad_wire import CrashReport

_logger = logging.getLogger(__name__)

# Finds out whether a replica still runs: (replica, gets whether it does).
CheckReachable = Callable[[Replica, Callable[[bool], None]], None]


class CrashGuard:
    """Refuses requests under which two replicas have crashed."""

    def __init__(
        self,
        tracker: PoisonTracker,
        check_reachable: CheckReachable,
        publish: Callable[[CrashReport], None],
        clock: Callable[[], float],
    ) -> None:
        self.check_reachable = check_reachable
        self.publish = publish
        self.clock = clock
        self._tracker = tracker

    def refusal(self, req: CallerRequest) -> Refusal | None:
        """Return the refusal of a quarantined request, else None."""
        if not self._tracker.has_suspects:
            return None
        return self._tracker.check(_fingerprint(req), self.clock())

    def guard(
        self, req: CallerRequest, request_id: bytes, *, is_fan_out: bool
    ) -> 'RequestGuard':
        """Return the guard of one request that is sent to replicas."""
        query = GuardedQuery(
            self._tracker,
            lambda: _fingerprint(req),
            is_canary_pending=False,
        )
        query.is_canary_pending = is_fan_out and query.is_suspect(self.clock())
        return RequestGuard(self, query, request_id)


class RequestGuard:
    """The attempts of one request, as the guard sees them.

    An attempt whose connection broke counts as a crash only if its replica can
    no longer be reached: many replicas close a connection and run on.
    """

    def __init__(
        self, guard: CrashGuard, query: GuardedQuery, request_id: bytes
    ) -> None:
        self._guard = guard
        self._query = query
        self._request_id = request_id
        self._running: dict[int, TrackedRun | None] = {}  # by serial
        self._alone: int | None = None  # serial, if no other ran beside it
        self._has_answer = False

    @property
    def needs_canary(self) -> bool:
        """Return whether one shard has to answer before the others are sent."""
        return self._query.is_canary_pending

    def restrict(self, policy: Policy) -> Policy:
        """Return the policy, restricted to what the guard allows."""
        return guard_policy(policy, self._query)

    def on_sent(self, serial: int, replica: Replica) -> None:
        """Record an attempt that is sent."""
        now = self._guard.clock()
        run = None
        if self._query.is_suspect(now):
            run = self._query.begin_run(replica.name, now)
        self._alone = None if self._running else serial
        self._running[serial] = run

    def on_end(self, serial: int) -> None:
        """Record that an attempt has ended or was given up."""
        run = self._running.pop(serial, None)
        if run is not None:
            self._query.end_run(run)

    def on_answer(self) -> None:
        """Record that a replica has answered."""
        self._has_answer = True
        now = self._guard.clock()
        if self._query.is_suspect(now):
            self._query.on_answer(now)

    def on_broken(self, serial: int, replica: Replica) -> None:
        """Record that the connection of an attempt broke."""
        ran_alone = serial == self._alone

        def on_checked(is_reachable: bool) -> None:
            if not is_reachable and not self._has_answer:
                self._on_crash(replica, ran_alone=ran_alone)

        self._guard.check_reachable(replica, on_checked)

    def _on_crash(self, replica: Replica, *, ran_alone: bool) -> None:
        POISON_EVENTS.labels('blamed').inc()
        report = self._query.on_crash(
            replica.name, self._guard.clock(), ran_alone=ran_alone
        )
        log_event(
            _logger,
            'replica crashed under a request',
            id=self._request_id.decode('latin-1'),
            replica=replica.name,
            ran_alone=ran_alone,
            fingerprint=self._query.fingerprint,
        )
        if report is not None:
            self._guard.publish(report)


def _fingerprint(req: CallerRequest) -> str:
    """Return the fingerprint of a request, which its repeats share."""
    call = b'%b %b' % (req.method, req.target)
    return compute_fingerprint(req.host, call.decode('latin-1'), req.body)
