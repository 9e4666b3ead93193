"""Execution of a gather: its commands become calls to replicas."""

import asyncio
from collections.abc import Callable, Iterable
from time import monotonic
from typing import NamedTuple, Protocol

from crocusroad_core.discovery import ReplicaNotice
from crocusroad_core.fronts import Replica
from crocusroad_core.gather import (
    Attempt,
    AttemptFailure,
    AttemptRole,
    Cancel,
    Command,
    FailureReason,
    Finish,
    Gather,
    Reply,
    Send,
)
from crocusroad_core.queueing import QueueEstimate, WaitingRequest
from crocusroad_core.retry_budget import OpenRetries
from crocusroad_core.routing import Router
from crocusroad_node.counters import ATTEMPTS, ATTEMPTS_LOST, REPEATS
from crocusroad_node.exchanges import (
    Call,
    CallResult,
    ConnectionPool,
    Request,
    Response,
)
from crocusroad_node.gateway._crash_guard import RequestGuard
from crocusroad_node.gateway._late_timers import (
    LATE_TIMER_SECONDS,
    READ_GRACE_SECONDS,
)
from crocusroad_node.gateway._platform_protocol import HeaderNames
from crocusroad_node.gateway._replica_response import (
    check_response,
    parse_load,
    read_notice,
)
from crocusroad_node.gateway._request_encoder import EncodeRequest
from crocusroad_node.wake_timer import WakeTimer


class RecordHedge(Protocol):
    """Records the duration of a hedge."""

    def __call__(
        self,
        route: str,
        seconds: float,
        *,
        is_answered: bool,
    ) -> None:
        """Record the seconds from sending a hedge to its answer or end."""


class ReplicaAccess(NamedTuple):
    """Access to the replicas, and the recorders of their latencies."""

    header_names: HeaderNames
    router: Router
    pool: Callable[[Replica], ConnectionPool]
    record_latency: Callable[[str, float], None]  # (route, seconds)
    record_hedge: RecordHedge
    on_notice: Callable[[Replica, ReplicaNotice], None]


class QuerySpec(NamedTuple):
    """The request that a query sends, and how its responses are read."""

    route: str
    request_id: bytes
    encode: EncodeRequest
    is_head: bool
    max_idle_seconds: float | None  # see ConnectionPool.acquire
    must_be_success: bool  # whether an error of a replica is a failed attempt
    read_records: Callable[[Response], list[object]]
    waiting: WaitingRequest  # decides when its attempts get a connection


class AttemptTrace(NamedTuple):
    """The log record of an attempt; none for an answered first attempt."""

    shard: str
    replica: str
    role: str
    outcome: str
    seconds: float  # since it was sent


MAX_TRACES = 12  # for one request


# Builds a gather: (tells whether an attempt, given by its serial, was sent).
BuildGather = Callable[[Callable[[int], bool]], Gather]


class Query:
    """Queries the replicas for one request.

    `on_finish` is called once, or never if the query is stopped.
    """

    def __init__(
        self,
        build_gather: BuildGather,
        spec: QuerySpec,
        access: ReplicaAccess,
        guard: RequestGuard,
        retries: OpenRetries,
        on_finish: Callable[[Finish], None],
    ) -> None:
        self.answers: dict[str, Response] = {}  # by shard
        self.error_response: Response | None = None  # latest of a replica
        self.traces: list[AttemptTrace] = []
        self.sent = 0  # attempts, without those that got no connection
        # Of the replica with the shortest queue, by shard that is overloaded.
        self._queues: dict[str, QueueEstimate] = {}
        self._sent_shards: set[str] = set()  # with an attempt that was sent
        self._gather = build_gather(self._is_sent)
        self._spec = spec
        self._access = access
        self._guard = guard
        self._retries = retries
        self._on_finish: Callable[[Finish], None] | None = on_finish
        self._loop = asyncio.get_running_loop()
        self._calls: dict[int, tuple[Attempt, Call]] = {}  # by serial
        self._timer = WakeTimer(self._on_timer)

    @property
    def has_waited_for_shards(self) -> bool:
        """Tell whether shards were missing when the answer was due."""
        return self._gather.has_waited_for_shards

    @property
    def longest_queue(self) -> QueueEstimate | None:
        """Return the wait at the most overloaded shard; None: none was."""
        return max(self._queues.values(), default=None)

    @property
    def request_id(self) -> bytes:
        """Return the ID of the caller's request."""
        return self._spec.request_id

    @property
    def is_at_replicas(self) -> bool:
        """Tell whether replicas have attempts that are not answered."""
        return any(call.is_sent for _, call in self._calls.values())

    def assume_sent(self, shards: Iterable[str]) -> None:
        """Count all attempts as repeats: a coordinator may have sent some."""
        self._sent_shards.update(shards)

    def start(self) -> None:
        """Send the first attempts."""
        self._execute(self._gather.begin(monotonic()))

    def set_max_replicas(self, max_replicas: int) -> None:
        """Set the number of replicas that may be queried for each shard."""
        self._gather.set_max_replicas(max_replicas, monotonic())
        self._execute([])

    def limit_deadline(self, deadline: float) -> None:
        """End the query at `deadline` unless it ends earlier anyway."""
        self._gather.limit_deadline(deadline)
        self._execute([])

    def stop(self) -> None:
        """Close the connections of all calls, because the caller has left."""
        self._on_finish = None
        self._timer.stop()
        now = monotonic()
        for serial, (attempt, call) in self._calls.items():
            self.sent -= not call.is_sent
            waited = now - attempt.sent_at if call.is_sent else 0
            self._access.router.on_abandoned(attempt.replica, waited, now)
            call.abort()
            self._guard.on_end(serial)
            self._retries.on_end(
                attempt.shard, serial, now, has_arrived=not call.is_sent
            )
        self._calls.clear()

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, Send):
                self._send(command.attempt, command.deadline)
            elif isinstance(command, Cancel):
                self._cancel(command.attempt)
            else:
                self._finish(command)
        if self._on_finish is not None:
            self._timer.set(self._gather.next_wake())

    def _send(self, attempt: Attempt, deadline: float) -> None:
        replica = attempt.replica
        _ATTEMPTS_BY_ROLE[attempt.role].inc()
        self.sent += 1
        self._access.router.on_sent(replica, monotonic())
        self._guard.on_sent(attempt.serial, replica)

        def encode_request(now: float) -> bytes:
            self._count_repeat(attempt)
            return self._spec.encode(replica, deadline, now)

        request = Request(
            encode_request,
            self._spec.request_id,
            self._spec.is_head,
            self._spec.max_idle_seconds,
            waiting=self._spec.waiting,
        )
        pool = self._access.pool(replica)
        call = Call(
            pool,
            request,
            deadline,
            lambda result: self._on_call_end(attempt, result),
        )
        self._calls[attempt.serial] = (attempt, call)
        if self._retries.has(attempt.shard):
            self._retries.on_sent(
                attempt.shard, self._serials_of(attempt.shard)
            )

    def _serials_of(self, shard: str) -> list[int]:
        """Return the attempts of a shard that are in flight."""
        return [
            serial
            for serial, (attempt, _) in self._calls.items()
            if attempt.shard == shard
        ]

    def _count_repeat(self, attempt: Attempt) -> None:
        shard, role = attempt.shard, attempt.role
        if shard in self._sent_shards:
            is_free = role in _UNCHARGED_ROLES
            charge = 'uncharged' if is_free else 'charged'
            REPEATS.labels(shard, role.value, charge).inc()
        self._sent_shards.add(shard)

    def _is_sent(self, serial: int) -> bool:
        _, call = self._calls.get(serial, (None, None))
        return call is None or call.is_sent

    def _cancel(self, attempt: Attempt) -> None:
        _, call = self._calls.pop(attempt.serial, (None, None))
        if call is None:
            return
        self._guard.on_end(attempt.serial)
        now = monotonic()
        seconds = now - attempt.sent_at
        self._record_trace(attempt, 'given up', seconds)
        is_unanswered = attempt.shard not in self.answers
        if attempt.role is AttemptRole.hedge and is_unanswered:
            self._access.record_hedge(
                self._spec.route, seconds, is_answered=False
            )
        replica = attempt.replica
        router = self._access.router
        if not call.is_sent:
            self.sent -= 1
            router.on_failure(replica, FailureReason.no_connection, 0, now)
            call.abandon(_ignore)
            self._retries.on_end(
                attempt.shard, attempt.serial, now, has_arrived=True
            )
            return
        router.on_abandoned(replica, seconds, now)
        call.abandon(lambda result: self._on_abandoned_end(attempt, result))

    def _on_abandoned_end(self, attempt: Attempt, result: CallResult) -> None:
        now = monotonic()
        replica = attempt.replica
        self._settle(attempt, result, now)
        is_answered = isinstance(result.outcome, Response)
        if isinstance(result.outcome, Response):
            self._apply_notice(replica, result.outcome)
        self._access.router.on_abandoned_end(
            replica, now, is_answered=is_answered
        )

    def _on_call_end(self, attempt: Attempt, result: CallResult) -> None:
        if self._calls.pop(attempt.serial, None) is None:
            return
        self._guard.on_end(attempt.serial)
        now = monotonic()
        outcome = result.outcome
        self._settle(attempt, result, now)
        if isinstance(outcome, FailureReason):
            self.sent -= outcome.is_unreached
            if outcome is FailureReason.broken:
                self._guard.on_broken(attempt.serial, attempt.replica)
            if outcome is FailureReason.overloaded:
                self._record_queue(attempt)
            self._on_attempt_failure(attempt, outcome, result.seconds, now)
            return
        self._apply_notice(attempt.replica, outcome)
        reason = check_response(
            outcome,
            self._access.header_names,
            must_be_success=self._spec.must_be_success,
        )
        if reason is None:
            self._on_answer(attempt, outcome, result.seconds, now)
            return
        if reason in _REPLICA_ERRORS:
            self.error_response = outcome
        self._on_attempt_failure(attempt, reason, result.seconds, now)

    def _settle(self, attempt: Attempt, result: CallResult, now: float) -> None:
        """Record the end of an attempt; a silent replica may read it later."""
        has_arrived = result.outcome is not FailureReason.silent
        self._retries.on_end(
            attempt.shard, attempt.serial, now, has_arrived=has_arrived
        )

    def _apply_notice(self, replica: Replica, response: Response) -> None:
        notice = read_notice(response, self._access.header_names)
        if notice is not None:
            self._access.on_notice(replica, notice)

    def _on_answer(
        self,
        attempt: Attempt,
        response: Response,
        seconds: float,
        now: float,
    ) -> None:
        self._guard.on_answer()
        load = parse_load(response, self._access.header_names)
        self._access.router.on_reply(attempt.replica, seconds, load, now)
        self._access.record_latency(self._spec.route, seconds)
        if attempt.role is not AttemptRole.first:
            self._record_trace(attempt, 'answered', seconds)
        if attempt.role is AttemptRole.hedge:
            total_seconds = now - attempt.sent_at
            self._access.record_hedge(
                self._spec.route, total_seconds, is_answered=True
            )
        self.answers[attempt.shard] = response
        records = self._spec.read_records(response)
        reply = Reply(attempt.serial, attempt.shard, attempt.version, records)
        self._execute(self._gather.on_reply(reply, now))

    def _on_attempt_failure(
        self,
        attempt: Attempt,
        reason: FailureReason,
        seconds: float,
        now: float,
    ) -> None:
        ATTEMPTS_LOST.labels(reason.value).inc()
        self._record_trace(attempt, reason.value, seconds)
        self._access.router.on_failure(attempt.replica, reason, seconds, now)
        failure = AttemptFailure(attempt.serial, reason)
        self._execute(self._gather.on_failure(failure, now))

    def _record_queue(self, attempt: Attempt) -> None:
        queue = self._access.pool(attempt.replica).queue_estimate
        shortest = self._queues.get(attempt.shard, queue)
        self._queues[attempt.shard] = min(shortest, queue)

    def _finish(self, finish: Finish) -> None:
        self._timer.stop()
        self._retries.on_finish(monotonic())
        on_finish = self._on_finish
        self._on_finish = None
        if on_finish is not None:
            on_finish(finish)

    def _record_trace(
        self, attempt: Attempt, outcome: str, seconds: float
    ) -> None:
        if len(self.traces) < MAX_TRACES:
            replica = attempt.replica.name
            role = attempt.role.value
            trace = AttemptTrace(
                attempt.shard, replica, role, outcome, round(seconds, 4)
            )
            self.traces.append(trace)

    def _on_timer(self) -> None:
        if monotonic() - self._timer.due > LATE_TIMER_SECONDS:
            # Responses may be unread. They are processed first, so that no
            # needless attempts are sent.
            self._loop.call_later(READ_GRACE_SECONDS, self._advance)
        else:
            self._advance()

    def _advance(self) -> None:
        if self._on_finish is None:
            return
        self._execute(self._gather.on_tick(monotonic()))


def _ignore(result: CallResult) -> None:
    """Ignore the end of a call that was not sent."""


_ATTEMPTS_BY_ROLE = {role: ATTEMPTS.labels(role.value) for role in AttemptRole}
# A first attempt that a hedge overtook is a repeat that the hedge has paid.
_UNCHARGED_ROLES = frozenset((AttemptRole.replacement, AttemptRole.restart))
_REPLICA_ERRORS = frozenset((FailureReason.failed, FailureReason.cancelled))
