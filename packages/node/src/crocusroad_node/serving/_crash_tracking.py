"""A wrapper of the upstreams that records the crashes of one search."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from returns.result import Failure, Result, Success

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.poison import PoisonTracker, TrackedRun
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.upstreams import QueryResult, Upstreams
from crocusroad_wire import CrashReport, UpstreamHealth, UpstreamQuery

PublishReport = Callable[[CrashReport], Awaitable[None]]


class CrashTrackingUpstreams:
    """Forwards the sub-requests of one search and records its crashes.

    A crash is published to the other instances before the failure is
    returned, so that neither a retry nor a repeat by the caller can start
    before they know of it.

    `is_canary_pending` is true while the search must be tried on one shard
    and no replica has answered it.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        tracker: PoisonTracker,
        fingerprint: str,
        suspects: frozenset[str],
        publish: PublishReport,
    ) -> None:
        self._upstreams = upstreams
        self._tracker = tracker
        self._fingerprint = fingerprint
        self._suspects = suspects
        self._publish = publish
        self._clock = asyncio.get_running_loop().time
        self.is_canary_pending = tracker.needs_canary(
            fingerprint, self._clock()
        )

    def is_suspect(self, now: float) -> bool:
        """Return whether the search recently crashed an upstream."""
        return self._tracker.is_suspect(self._fingerprint, now)

    def choose_canary(
        self, candidates: Iterable[Replica], now: float
    ) -> Replica | None:
        """Return the first replica that the search has not crashed.

        If it crashed all of them, return the first, or None if there is none.
        A second crash of the same replica is no further evidence.
        """
        crashed = self._tracker.crashed_upstreams(self._fingerprint, now)
        preferred = sorted(
            candidates, key=lambda replica: replica.name in crashed
        )
        return preferred[0] if preferred else None

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Run a sub-request, or reject it if the search may not run there."""
        run = self._begin_run(replica.name)
        if run is None:
            POISON_EVENTS.labels('held').inc()
            return Failure(FailureReason.rejected)
        try:
            outcome = await self._upstreams.query(replica, message, timeout)
        finally:
            self._tracker.end_run(run)
        await self._record_outcome(replica.name, outcome)
        return outcome

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return the health that the replica reports."""
        return await self._upstreams.health(replica, timeout)

    async def close(self) -> None:
        """Do nothing, since the connections are shared with other searches."""

    def _begin_run(self, upstream: str) -> TrackedRun | None:
        now = self._clock()
        if self._tracker.check(self._fingerprint, now) is not None:
            return None
        is_restricted = self.is_canary_pending and self.is_suspect(now)
        if is_restricted and upstream not in self._suspects:
            return None
        return self._tracker.begin_run(self._fingerprint, upstream, now)

    async def _record_outcome(
        self, upstream: str, outcome: QueryResult
    ) -> None:
        if isinstance(outcome, Success):
            self.is_canary_pending = False
            self._tracker.on_answer(self._fingerprint, self._clock())
        elif outcome.failure() is FailureReason.broken:
            await self._record_crash(upstream)

    async def _record_crash(self, upstream: str) -> None:
        POISON_EVENTS.labels('blamed').inc()
        report = self._tracker.on_crash(
            self._fingerprint,
            upstream,
            self._clock(),
            is_canary=self.is_canary_pending,
        )
        if report is not None:
            await self._publish(report)
