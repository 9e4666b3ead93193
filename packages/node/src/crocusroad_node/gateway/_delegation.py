"""Fan-outs given to a faster instance, and what comes of them."""

import asyncio
import logging
from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple, Protocol

from crocusroad_core.coordinators import Coordinators, way_seconds
from crocusroad_core.gather import FailureReason
from crocusroad_core.sources import Member
from crocusroad_node.counters import DELEGATED
from crocusroad_node.exchanges import (
    Call,
    Ending,
    LinkPool,
    Message,
    Response,
)
from crocusroad_node.gateway._delegated_head import (
    NOT_ACCEPTED,
    Delegated,
    encode_delegated,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import note

_logger = logging.getLogger(__name__)

# A coordinator says at once that it has the request. One that did not within
# this time, in seconds, beyond the way, is dark or cut off: it is twice what
# a busy one was seen to take.
ACK_SECONDS: Final = 0.04
# A timer that is later than this was held up by the instance itself; what has
# come meanwhile is read first.
LATE_SECONDS: Final = 0.008
READ_SECONDS: Final = 0.001
MAX_LINKS: Final = 16  # to one coordinator; fan-outs wait for each other


class Job(NamedTuple):
    """A fan-out that may be given away."""

    req: CallerRequest
    request_id: bytes
    version: int  # of the configuration that its route is from
    shards: int
    deadline: float


class Told(Protocol):
    """Takes what came of a fan-out that was given away; told once."""

    def on_reply(self, response: Response, name: str) -> None:
        """Take the answer of a coordinator."""

    def on_kept(self, *, may_have_run: bool) -> None:
        """Take that the fan-out has to be done here."""

    def on_lost(self, reason: FailureReason, name: str) -> None:
        """Take that a coordinator has worked on it and cannot answer."""


class Delegations:
    """Gives fan-outs to the instances that are faster."""

    def __init__(
        self,
        own: Member,
        coordinators: Coordinators,
        id_header: bytes,
    ) -> None:
        self._own = own
        self._coordinators = coordinators
        self._id_header = id_header
        self._pools: dict[str, LinkPool] = {}  # by address

    def begin(self, job: Job, told: Told) -> Callable[[], None] | None:
        """Give a fan-out away; return what stops it, or None if it stays."""
        member = self._coordinators.choose(job.shards, monotonic())
        if member is None:
            return None
        self._coordinators.on_given(member, job.shards)
        way = way_seconds(self._own, member)
        return _Delegation(job, member, self, told).begin(
            self._pool(member), way
        )

    def on_over(self, member: Member, job: Job, outcome: str) -> None:
        """Take the end of one, and what it says of the coordinator."""
        DELEGATED.labels(outcome).inc()
        self._coordinators.on_over(member, job.shards)
        now = monotonic()
        if outcome in _REFUSALS:
            self._coordinators.on_refusal(member, now)
        elif outcome in _SILENCES:
            note(
                _logger,
                'coordinator passed over',
                coordinator=member.name,
                id=job.request_id.decode('latin-1'),
                outcome=outcome,
            )
            self._coordinators.on_silence(member, now)

    def _pool(self, member: Member) -> LinkPool:
        pool = self._pools.get(member.address)
        if pool is None:
            host, _, port = member.address.rpartition(':')
            home = (host, int(port))
            pool = LinkPool(home, self._id_header, lambda: MAX_LINKS)
            self._pools[member.address] = pool
        return pool


_REFUSALS: Final = frozenset(('not accepted',))
_SILENCES: Final = frozenset(('unreached', 'silent', 'lost'))


class _Delegation:
    """One fan-out at a coordinator."""

    def __init__(
        self,
        job: Job,
        member: Member,
        desk: Delegations,
        told: Told,
    ) -> None:
        self._job = job
        self._member = member
        self._desk = desk
        self._told = told
        self._loop = asyncio.get_running_loop()
        self._call: Call | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_over = False

    def begin(self, pool: LinkPool, way: float) -> Callable[[], None]:
        """Send it; return what stops it."""
        job = self._job

        def make(now: float) -> bytes:
            passed = now - job.req.received_at + way
            return encode_delegated(job.req, Delegated(job.version, passed))

        message = Message(make, job.request_id, job.req.is_head)
        due = monotonic() + ACK_SECONDS + way
        self._timer = self._loop.call_at(due, self._look, due)
        self._call = Call(pool, message, job.deadline, self._ended)
        return self._stop

    def _look(self, due: float) -> None:
        """Take the job back if the coordinator has not said that it works."""
        call = self._call
        if self._is_over or call is None or call.has_begun:
            return
        now = monotonic()
        if now - due > LATE_SECONDS:
            again = now + READ_SECONDS
            self._timer = self._loop.call_at(again, self._look, again)
            return
        is_sent = call.is_sent
        call.kill()
        self._keep('silent' if is_sent else 'unreached', may_have_run=is_sent)

    def _ended(self, ending: Ending) -> None:
        outcome = ending.outcome
        if isinstance(outcome, FailureReason):
            self._failed(outcome)
        elif outcome.header(NOT_ACCEPTED) is not None:
            self._keep('not accepted', may_have_run=False)
        elif self._finish('answered'):
            self._told.on_reply(outcome, self._member.name)

    def _failed(self, reason: FailureReason) -> None:
        if reason.is_unreached:
            self._keep('unreached', may_have_run=False)
        elif self._call is None or not self._call.has_begun:
            self._keep('silent', may_have_run=True)
        elif self._finish('lost'):
            self._told.on_lost(reason, self._member.name)

    def _keep(self, outcome: str, *, may_have_run: bool) -> None:
        if self._finish(outcome):
            self._told.on_kept(may_have_run=may_have_run)

    def _stop(self) -> None:
        if self._finish('caller left') and self._call is not None:
            self._call.kill()

    def _finish(self, outcome: str) -> bool:
        """End it once; tell whether it was still open."""
        if self._is_over:
            return False
        self._is_over = True
        if self._timer is not None:
            self._timer.cancel()
        self._desk.on_over(self._member, self._job, outcome)
        return True
