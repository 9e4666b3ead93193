"""Upstreams whose attempts the router and the budget are told of."""

import asyncio
from collections.abc import Callable

from returns.result import Result, Success

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.routing import ExtraLoadBudget, HealthReport, Router
from crocusroad_node.upstreams._port import QueryResult, Upstreams
from crocusroad_wire import UpstreamAnswer, UpstreamHealth, UpstreamQuery

Clock = Callable[[], float]


class ObservedUpstreams:
    """Passes sub-requests on and tells the router what came of each."""

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
        """Run a sub-request within `timeout` seconds."""
        began = self._clock()
        self._budget.on_sent(began)
        self._router.on_sent(replica, began)
        try:
            outcome = await self._upstreams.query(replica, message, timeout)
        except asyncio.CancelledError:
            self._take_loss(replica, FailureReason.cancelled, began)
            raise
        if isinstance(outcome, Success):
            self._take_answer(replica, outcome.unwrap(), began)
        else:
            self._take_loss(replica, outcome.failure(), began)
        return outcome

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return what the replica reports of itself."""
        outcome = await self._upstreams.health(replica, timeout)
        if isinstance(outcome, Success):
            said = outcome.unwrap()
            report = HealthReport(
                said['healthy'],
                said['draining'],
                said['load'],
            )
            self._router.on_health(replica, report, self._clock())
        return outcome

    async def close(self) -> None:
        """Close every connection."""
        await self._upstreams.close()

    def _take_answer(
        self,
        replica: Replica,
        answer: UpstreamAnswer,
        began: float,
    ) -> None:
        now = self._clock()
        latency = now - began
        self._router.on_reply(replica, latency, answer.get('load'), now)
        if answer.get('draining'):
            self._router.on_draining(replica, now)

    def _take_loss(
        self,
        replica: Replica,
        reason: FailureReason,
        began: float,
    ) -> None:
        now = self._clock()
        self._router.on_failure(replica, reason, now - began, now)
