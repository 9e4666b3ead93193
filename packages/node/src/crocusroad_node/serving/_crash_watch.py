"""Upstreams as one search reaches them, its crashes watched."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from returns.result import Failure, Result, Success

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.poison import PoisonTracker, TrackedRun
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.upstreams import QueryResult, Upstreams
from crocusroad_wire import CrashReport, UpstreamHealth, UpstreamQuery

Tell = Callable[[CrashReport], Awaitable[None]]


class CrashWatch:
    """Passes sub-requests of one search on and blames it for crashes.

    A failure by crash is returned only after it was told to the other
    instances, so that neither a retry nor the caller's repeat comes first.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        tracker: PoisonTracker,
        print_: str,
        pair: frozenset[str],
        tell: Tell,
    ) -> None:
        self._upstreams = upstreams
        self._tracker = tracker
        self._print = print_
        self._pair = pair
        self._tell = tell
        self._clock = asyncio.get_running_loop().time
        self.is_alone = tracker.needs_canary(print_, self._clock())

    def is_suspect(self, now: float) -> bool:
        """Tell whether an upstream broke under the search lately."""
        return self._tracker.is_suspect(self._print, now)

    def prefer(self, order: Iterable[Replica], now: float) -> Replica | None:
        """Return the first replica not yet broken by it, else the first.

        A second crash of the same replica would prove nothing.
        """
        broken = self._tracker.crashed_upstreams(self._print, now)
        ranked = sorted(order, key=lambda one: one.name in broken)
        return ranked[0] if ranked else None

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Run a sub-request where it may run."""
        run = self._enter(replica.name)
        if run is None:
            POISON_EVENTS.labels('held').inc()
            return Failure(FailureReason.rejected)
        try:
            outcome = await self._upstreams.query(replica, message, timeout)
        finally:
            self._tracker.end_run(run)
        await self._note(replica.name, outcome)
        return outcome

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return what the replica reports of itself."""
        return await self._upstreams.health(replica, timeout)

    async def close(self) -> None:
        """Leave the connections open; they belong to the node."""

    def _enter(self, upstream: str) -> TrackedRun | None:
        now = self._clock()
        if self._tracker.check(self._print, now) is not None:
            return None
        is_bound = self.is_alone and self.is_suspect(now)
        if is_bound and upstream not in self._pair:
            return None
        return self._tracker.begin_run(self._print, upstream, now)

    async def _note(self, upstream: str, outcome: QueryResult) -> None:
        if isinstance(outcome, Success):
            self.is_alone = False
            self._tracker.on_answer(self._print, self._clock())
        elif outcome.failure() is FailureReason.broken:
            await self._blame(upstream)

    async def _blame(self, upstream: str) -> None:
        POISON_EVENTS.labels('blamed').inc()
        report = self._tracker.on_crash(
            self._print,
            upstream,
            self._clock(),
            is_canary=self.is_alone,
        )
        if report is not None:
            await self._tell(report)
