"""Upstreams that report each attempt to the router and the budget."""

import asyncio
from collections.abc import Callable

from returns.result import Result, Success

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import FailureReason
from crocusroad_core.routing import ExtraLoadBudget, HealthReport, Router
from crocusroad_node.upstreams._port import QueryResult, Upstreams
from crocusroad_wire import UpstreamAnswer, UpstreamHealth, UpstreamQuery

Clock = Callable[[], float]


class ObservedUpstreams:
    """Wrapper of upstreams that reports the outcome of each sub-request.

    The router gets every attempt, answer, failure and health report; the
    budget counts every attempt.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        router: Router,
        budget: ExtraLoadBudget,
        clock: Clock,
    ) -> None:
        self._upstreams = upstreams
        self._router = router
        self._budget = budget
        self._clock = clock

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Send a sub-request and return its answer within `timeout` seconds."""
        started_at = self._clock()
        self._budget.on_sent(started_at)
        self._router.on_sent(replica, started_at)
        try:
            outcome = await self._upstreams.query(replica, message, timeout)
        except asyncio.CancelledError:
            self._record_failure(replica, FailureReason.cancelled, started_at)
            raise
        if isinstance(outcome, Success):
            self._record_answer(replica, outcome.unwrap(), started_at)
        else:
            self._record_failure(replica, outcome.failure(), started_at)
        return outcome

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return the health that the replica reports, within `timeout` s."""
        outcome = await self._upstreams.health(replica, timeout)
        if isinstance(outcome, Success):
            health = outcome.unwrap()
            report = HealthReport(
                health['healthy'],
                health['draining'],
                health['load'],
            )
            self._router.on_health(replica, report, self._clock())
        return outcome

    def rest_seconds(self, shard_map: ShardMap, now: float) -> float:
        """Return when each shard has a replica that takes requests."""
        return self._upstreams.rest_seconds(shard_map, now)

    async def close(self) -> None:
        """Close every connection."""
        await self._upstreams.close()

    def _record_answer(
        self,
        replica: Replica,
        answer: UpstreamAnswer,
        started_at: float,
    ) -> None:
        now = self._clock()
        latency = now - started_at
        self._router.on_reply(replica, latency, answer.get('load'), now)
        if answer.get('draining'):
            self._router.on_draining(replica, now)

    def _record_failure(
        self,
        replica: Replica,
        reason: FailureReason,
        started_at: float,
    ) -> None:
        now = self._clock()
        self._router.on_failure(replica, reason, now - started_at, now)
