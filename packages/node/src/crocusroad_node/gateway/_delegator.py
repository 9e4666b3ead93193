"""Fan-outs given to a faster instance, and what comes of them."""

import asyncio
import logging
from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple, Protocol

from crocusroad_core.coordinators import CoordinatorSelector, round_trip_seconds
from crocusroad_core.gather import FailureReason
from crocusroad_core.sources import FleetMember
from crocusroad_node.counters import DELEGATED_FAN_OUTS
from crocusroad_node.exchanges import (
    Call,
    CallResult,
    ConnectionPool,
    Request,
    Response,
)
from crocusroad_node.gateway._delegation_messages import (
    BUSY,
    NOT_ACCEPTED_HEADER,
    Delegated,
    encode_confirmed,
    encode_delegated,
)
from crocusroad_node.gateway._query import LATE_TICK_SECONDS, READ_SECONDS
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

# A coordinator says at once that it has the request. One that did not within
# this time, in seconds, beyond the way, is taken as dark or cut off: two
# fan-outs of 135 shards ahead of it on a fast instance, and about half of the
# shortest objective, so that there is time left to ask from here.
ACK_SECONDS: Final = 0.04
MAX_LINKS: Final = 16  # to one coordinator; fan-outs wait for each other


class Job(NamedTuple):
    """A fan-out that may be given away."""

    req: CallerRequest
    request_id: bytes
    version: int  # of the configuration that its route is from
    shards: int
    deadline: float


class Place(NamedTuple):
    """Where a fan-out is given."""

    member: FleetMember
    pool: ConnectionPool
    way: float  # seconds, there and back


class Told(Protocol):
    """Takes what came of a fan-out that was given away; told once."""

    def on_reply(self, response: Response, name: str) -> None:
        """Take the answer of a coordinator."""

    def on_kept(self, *, may_have_run: bool) -> None:
        """Take that the fan-out has to be done here."""

    def on_lost(self, reason: FailureReason, name: str) -> None:
        """Take that a coordinator has worked on it and cannot answer."""


REFUSED: Final = 'refused'
ANSWERED: Final = 'answered'
CALLER_LEFT: Final = 'caller left'
_FINE: Final = frozenset((ANSWERED, CALLER_LEFT))


class End(NamedTuple):
    """How a fan-out ended at a coordinator."""

    outcome: str
    why: str = ''  # it was refused


class Delegator:
    """Gives fan-outs to the instances that are faster."""

    def __init__(
        self,
        own: FleetMember,
        coordinators: CoordinatorSelector,
        id_header: bytes,
    ) -> None:
        self._own = own
        self._coordinators = coordinators
        self._id_header = id_header
        self._pools: dict[str, ConnectionPool] = {}  # by address

    def begin(self, job: Job, told: Told) -> Callable[[], None] | None:
        """Give a fan-out away; return what stops it, or None if it stays."""
        delegation = _Delegation(job, self, told)
        return delegation.stop if delegation.begin() else None

    def choose(self, job: Job) -> Place | None:
        """Return where to give a fan-out; None if it stays."""
        member = self._coordinators.choose(job.shards, monotonic())
        if member is None:
            return None
        self._coordinators.on_delegated(member, job.shards)
        way = round_trip_seconds(self._own, member)
        return Place(member, self._pool(member), way)

    def on_over(self, member: FleetMember, job: Job, ending: End) -> None:
        """Take the end of one, and what it says of the coordinator."""
        DELEGATED_FAN_OUTS.labels(ending.outcome).inc()
        self._coordinators.on_finished(member, job.shards)
        if ending.outcome in _FINE:
            return
        log_event(
            _logger,
            'coordinator passed over',
            coordinator=member.name,
            id=job.request_id.decode('latin-1'),
            outcome=ending.outcome,
            why=ending.why,
        )
        now = monotonic()
        if ending.outcome == REFUSED:
            is_busy = ending.why == BUSY
            self._coordinators.on_refusal(member, now, is_busy=is_busy)
        else:
            self._coordinators.on_failure(member, now)

    def _pool(self, member: FleetMember) -> ConnectionPool:
        pool = self._pools.get(member.address)
        if pool is None:
            pool = ConnectionPool(
                member.endpoint, self._id_header, lambda: MAX_LINKS
            )
            self._pools[member.address] = pool
        return pool


class _Delegation:
    """One fan-out, at one coordinator after the other until one accepts."""

    def __init__(self, job: Job, desk: Delegator, told: Told) -> None:
        self._job = job
        self._desk = desk
        self._told = told
        self._loop = asyncio.get_running_loop()
        self._place: Place | None = None  # None: it is over
        self._call: Call | None = None
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> bool:
        """Send it; tell whether there is an instance to send it to."""
        job = self._job
        place = self._desk.choose(job)
        if place is None:
            return False
        self._place = place

        def make(now: float) -> bytes:
            passed = now - job.req.received_at + place.way
            return encode_delegated(job.req, Delegated(job.version, passed))

        request = Request(
            make,
            job.request_id,
            job.req.is_head,
            acknowledgement=encode_confirmed(job.request_id),
        )
        due = monotonic() + ACK_SECONDS + place.way
        self._timer = self._loop.call_at(due, self._look, due)
        self._call = Call(place.pool, request, job.deadline, self._ended)
        return True

    def stop(self) -> None:
        """Stop the work there: the caller has left."""
        call = self._call
        if self._finish(End(CALLER_LEFT)) and call is not None:
            call.abort()

    def _look(self, due: float) -> None:
        """Take the job back if the coordinator has not said that it works."""
        call = self._call
        if call is None or call.has_response_started:
            return
        now = monotonic()
        if now - due > LATE_TICK_SECONDS:
            # This instance was held up; what has come is read first.
            again = now + READ_SECONDS
            self._timer = self._loop.call_at(again, self._look, again)
            return
        call.abort()
        if call.is_sent:
            self._keep(End('silent'))
        else:
            self._move_on(End('unreached'))

    def _ended(self, ending: CallResult) -> None:
        outcome = ending.outcome
        place = self._place
        if isinstance(outcome, FailureReason):
            self._failed(outcome)
            return
        refusal = outcome.header(NOT_ACCEPTED_HEADER)
        if refusal is not None:
            self._move_on(End(REFUSED, refusal.decode('latin-1')))
        elif self._finish(End(ANSWERED)) and place is not None:
            self._told.on_reply(outcome, place.member.name)

    def _failed(self, reason: FailureReason) -> None:
        call = self._call
        place = self._place
        if reason.is_unreached:
            self._move_on(End('unreached'))
        elif call is None or not call.has_response_started:
            self._keep(End('silent'))
        elif self._finish(End('lost')) and place is not None:
            self._told.on_lost(reason, place.member.name)

    def _move_on(self, end: End) -> None:
        """Try the next coordinator: this one has not begun."""
        if self._finish(end) and not self.begin():
            self._told.on_kept(may_have_run=False)

    def _keep(self, end: End) -> None:
        if self._finish(end):
            self._told.on_kept(may_have_run=True)

    def _finish(self, end: End) -> bool:
        """End it at this coordinator; tell whether it was still open."""
        place = self._place
        if place is None:
            return False
        self._place = None
        self._call = None
        if self._timer is not None:
            self._timer.cancel()
        self._desk.on_over(place.member, self._job, end)
        return True
