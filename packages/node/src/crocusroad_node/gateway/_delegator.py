"""Delegation of fan-outs to faster instances."""

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
    Delegation,
    encode_confirmation,
    encode_delegated_request,
)
from crocusroad_node.gateway._late_timers import (
    LATE_TIMER_SECONDS,
    READ_GRACE_SECONDS,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

# A coordinator acknowledges a request at once. One that has not done so within
# this time plus the round trip is taken as stopped or disconnected. The time
# covers two fan-outs of 135 shards queued on a fast instance. It is about half
# of the shortest latency objective, so that this instance still has time to
# query the replicas itself.
ACK_SECONDS: Final = 0.04
MAX_CONNECTIONS: Final = 16  # to one coordinator; other fan-outs queue


class FanOut(NamedTuple):
    """A fan-out that may be delegated."""

    req: CallerRequest
    request_id: bytes
    version: int  # of the route configuration
    shard_count: int
    deadline: float


class Coordinator(NamedTuple):
    """An instance that a fan-out is sent to."""

    member: FleetMember
    pool: ConnectionPool
    round_trip: float  # seconds


class DelegationListener(Protocol):
    """Receives the result of a delegated fan-out.

    At most one of its methods is called, once; none after a stop.
    """

    def on_reply(self, response: Response, coordinator: str) -> None:
        """Handle the answer of a coordinator."""

    def on_not_accepted(self, *, may_have_run: bool) -> None:
        """Query the replicas from this instance.

        `may_have_run` tells whether a coordinator may have queried replicas.
        """

    def on_failure(self, reason: FailureReason, coordinator: str) -> None:
        """Handle the failure of a coordinator that had acknowledged."""


REFUSED: Final = 'refused'
ANSWERED: Final = 'answered'
CALLER_LEFT: Final = 'caller left'
# Outcomes after which the coordinator is not skipped for a while.
_NOT_FAULTS: Final = frozenset((ANSWERED, CALLER_LEFT))


class DelegationResult(NamedTuple):
    """The result of a fan-out at one coordinator."""

    outcome: str
    reason: str = ''  # of a refusal


class Delegator:
    """Delegates fan-outs to faster instances."""

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

    def delegate(
        self, fan_out: FanOut, listener: DelegationListener
    ) -> Callable[[], None] | None:
        """Send a fan-out to a coordinator.

        Return what stops it, or None if there is no suitable coordinator.
        """
        delegation = _Delegation(fan_out, self, listener)
        return delegation.stop if delegation.send() else None

    def choose_coordinator(self, fan_out: FanOut) -> Coordinator | None:
        """Return the coordinator of a fan-out; None: do not delegate it."""
        member = self._coordinators.choose(fan_out.shard_count, monotonic())
        if member is None:
            return None
        self._coordinators.on_delegated(member, fan_out.shard_count)
        round_trip = round_trip_seconds(self._own, member)
        return Coordinator(member, self._pool(member), round_trip)

    def on_end(
        self, member: FleetMember, fan_out: FanOut, result: DelegationResult
    ) -> None:
        """Record the result, and back off from a coordinator that failed."""
        DELEGATED_FAN_OUTS.labels(result.outcome).inc()
        self._coordinators.on_finished(member, fan_out.shard_count)
        if result.outcome in _NOT_FAULTS:
            return
        log_event(
            _logger,
            'coordinator passed over',
            coordinator=member.name,
            id=fan_out.request_id.decode('latin-1'),
            outcome=result.outcome,
            why=result.reason,
        )
        now = monotonic()
        if result.outcome == REFUSED:
            is_busy = result.reason == BUSY
            self._coordinators.on_refusal(member, now, is_busy=is_busy)
        else:
            self._coordinators.on_failure(member, now)

    def _pool(self, member: FleetMember) -> ConnectionPool:
        pool = self._pools.get(member.address)
        if pool is None:
            pool = ConnectionPool(
                member.endpoint, self._id_header, lambda: MAX_CONNECTIONS
            )
            self._pools[member.address] = pool
        return pool


class _Delegation:
    """Offers one fan-out to coordinators in turn until one accepts it."""

    def __init__(
        self,
        fan_out: FanOut,
        delegator: Delegator,
        listener: DelegationListener,
    ) -> None:
        self._fan_out = fan_out
        self._delegator = delegator
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._coordinator: Coordinator | None = None  # None: no open call
        self._call: Call | None = None
        self._timer: asyncio.TimerHandle | None = None

    def send(self) -> bool:
        """Send the fan-out; return whether there is a coordinator for it."""
        fan_out = self._fan_out
        coordinator = self._delegator.choose_coordinator(fan_out)
        if coordinator is None:
            return False
        self._coordinator = coordinator

        def encode(now: float) -> bytes:
            elapsed = now - fan_out.req.asked_at + coordinator.round_trip
            return encode_delegated_request(
                fan_out.req, Delegation(fan_out.version, elapsed)
            )

        request = Request(
            encode,
            fan_out.request_id,
            fan_out.req.is_head,
            acknowledgement=encode_confirmation(fan_out.request_id),
        )
        due = monotonic() + ACK_SECONDS + coordinator.round_trip
        self._timer = self._loop.call_at(due, self._check_acknowledged, due)
        self._call = Call(
            coordinator.pool, request, fan_out.deadline, self._on_call_end
        )
        return True

    def stop(self) -> None:
        """Stop the coordinator's work, because the caller has left."""
        call = self._call
        if self._end(DelegationResult(CALLER_LEFT)) and call is not None:
            call.abort()

    def _check_acknowledged(self, due: float) -> None:
        """Take the fan-out back if the coordinator has not acknowledged it."""
        call = self._call
        if call is None or call.has_response_started:
            return
        now = monotonic()
        if now - due > LATE_TIMER_SECONDS:
            # This instance was delayed: pending responses are read first.
            retry_at = now + READ_GRACE_SECONDS
            self._timer = self._loop.call_at(
                retry_at, self._check_acknowledged, retry_at
            )
            return
        call.abort()
        if call.is_sent:
            self._query_locally(DelegationResult('silent'))
        else:
            self._try_next(DelegationResult('unreached'))

    def _on_call_end(self, result: CallResult) -> None:
        outcome = result.outcome
        coordinator = self._coordinator
        if isinstance(outcome, FailureReason):
            self._on_call_failure(outcome)
            return
        refusal = outcome.header(NOT_ACCEPTED_HEADER)
        if refusal is not None:
            self._try_next(DelegationResult(REFUSED, refusal.decode('latin-1')))
        elif self._end(DelegationResult(ANSWERED)) and coordinator is not None:
            self._listener.on_reply(outcome, coordinator.member.name)

    def _on_call_failure(self, reason: FailureReason) -> None:
        call = self._call
        coordinator = self._coordinator
        if reason.is_unreached:
            self._try_next(DelegationResult('unreached'))
        elif call is None or not call.has_response_started:
            self._query_locally(DelegationResult('silent'))
        elif self._end(DelegationResult('lost')) and coordinator is not None:
            self._listener.on_failure(reason, coordinator.member.name)

    def _try_next(self, result: DelegationResult) -> None:
        """Try the next coordinator: this one has not started the work."""
        if self._end(result) and not self.send():
            self._listener.on_not_accepted(may_have_run=False)

    def _query_locally(self, result: DelegationResult) -> None:
        if self._end(result):
            self._listener.on_not_accepted(may_have_run=True)

    def _end(self, result: DelegationResult) -> bool:
        """End the call to this coordinator; return whether it was open."""
        coordinator = self._coordinator
        if coordinator is None:
            return False
        self._coordinator = None
        self._call = None
        if self._timer is not None:
            self._timer.cancel()
        self._delegator.on_end(coordinator.member, self._fan_out, result)
        return True
