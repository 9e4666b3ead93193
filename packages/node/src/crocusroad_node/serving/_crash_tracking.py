"""A wrapper of the upstreams that records the crashes of one search."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import FailureReason
from crocusroad_core.poison import GuardedQuery
from crocusroad_node.counters import POISON_EVENTS
from crocusroad_node.upstreams import QueryResult, Upstreams
from crocusroad_wire import CrashReport, UpstreamHealth, UpstreamQuery

PublishReport = Callable[[CrashReport], Awaitable[None]]


class CrashTrackingUpstreams:
    """Forwards the sub-requests of one search and records its crashes.

    A crash is published to the other instances before the failure is
    returned, so that neither a retry nor a repeat by the caller can start
    before they know of it.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        guarded: GuardedQuery,
        publish: PublishReport,
    ) -> None:
        self._upstreams = upstreams
        self._guarded = guarded
        self._publish = publish
        self._clock = asyncio.get_running_loop().time

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Run a sub-request, or reject it if the search may not run there."""
        run = self._guarded.begin_run(replica.name, self._clock())
        if run is None:
            POISON_EVENTS.labels('held').inc()
            return Failure(FailureReason.rejected)
        try:
            outcome = await self._upstreams.query(replica, message, timeout)
        finally:
            self._guarded.end_run(run)
        await self._record_outcome(replica.name, outcome)
        return outcome

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return the health that the replica reports."""
        return await self._upstreams.health(replica, timeout)

    def rest_seconds(self, shard_map: ShardMap, now: float) -> float:
        """Return when each shard has a replica that takes requests."""
        return self._upstreams.rest_seconds(shard_map, now)

    async def close(self) -> None:
        """Do nothing, since the connections are shared with other searches."""

    async def _record_outcome(
        self, upstream: str, outcome: QueryResult
    ) -> None:
        if isinstance(outcome, Success):
            self._guarded.on_answer(self._clock())
        elif outcome.failure() is FailureReason.broken:
            await self._record_crash(upstream)

    async def _record_crash(self, upstream: str) -> None:
        POISON_EVENTS.labels('blamed').inc()
        report = self._guarded.on_crash(
            upstream,
            self._clock(),
            ran_alone=self._guarded.is_canary_pending,
        )
        if report is not None:
            await self._publish(report)
