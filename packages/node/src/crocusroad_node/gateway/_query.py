"""One request on its way: the commands of its gather become calls."""

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import NamedTuple, Protocol

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
from crocusroad_core.routing import Router
from crocusroad_node.counters import ATTEMPTS, ATTEMPTS_LOST
from crocusroad_node.exchanges import (
    Call,
    CallResult,
    ConnectionPool,
    Request,
    Response,
)
from crocusroad_node.gateway._dialect import HeaderNames
from crocusroad_node.gateway._replica_response import check_response, read_load
from crocusroad_node.gateway._request_encoder import Encode
from crocusroad_node.wake_timer import WakeTimer


class RecordHedge(Protocol):
    """Takes how long a hedge took."""

    def __call__(
        self,
        route: str,
        seconds: float,
        *,
        is_answered: bool,
    ) -> None:
        """Take the seconds from its sending to its answer or its end."""


class ReplicaAccess(NamedTuple):
    """How replicas are reached and what is learned of them."""

    names: HeaderNames
    router: Router
    pool: Callable[[Replica], ConnectionPool]
    record_latency: Callable[[str, float], None]  # (route, seconds)
    record_hedge: RecordHedge


class Task(NamedTuple):
    """What one request is to its query."""

    route: str
    request_id: bytes
    encode: Encode
    is_head: bool
    freshness: float | None  # seconds; see ConnectionPool.acquire
    must_be_success: bool  # a replica's failure is no answer
    read: Callable[[Response], list[object]]  # records of an answer


class Trace(NamedTuple):
    """An attempt that says something of how a request went."""

    shard: str
    replica: str
    role: str
    outcome: str
    seconds: float  # from its sending


# A timer that is later than this was held up by the instance itself.
LATE_TICK_SECONDS = 0.008
# The loop reads what has come before a timer this far ahead, in seconds.
READ_SECONDS = 0.001
MAX_TRACES = 12  # of one request that are kept


class Query:
    """One request on its way; `on_finish` is told once."""

    def __init__(
        self,
        gather: Gather,
        task: Task,
        reach: ReplicaAccess,
        on_finish: Callable[[Finish], None],
    ) -> None:
        self.answers: dict[str, Response] = {}  # by shard
        self.failure: Response | None = None  # a replica's own, the last one
        self.traces: list[Trace] = []
        self.sent = 0
        self._gather = gather
        self._task = task
        self._reach = reach
        self._on_finish: Callable[[Finish], None] | None = on_finish
        self._loop = asyncio.get_running_loop()
        self._calls: dict[int, Call] = {}
        self._timer = WakeTimer(self._tick)

    @property
    def has_waited(self) -> bool:
        """Tell whether the answer was due and lacked shards."""
        return self._gather.has_waited_for_shards

    def begin(self) -> None:
        """Send the first attempts."""
        self._carry_out(self._gather.begin(monotonic()))

    def allow(self, max_replicas: int) -> None:
        """Take how many replicas of each shard may be asked from now on."""
        self._gather.set_max_replicas(max_replicas, monotonic())
        self._carry_out([])

    def stop(self) -> None:
        """Stop the work everywhere: the caller has left."""
        self._on_finish = None
        self._timer.stop()
        for call in self._calls.values():
            call.abort()
        self._calls.clear()

    def _carry_out(self, commands: list[Command]) -> None:
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
        _SENT[attempt.role].inc()
        self.sent += 1
        self._reach.router.on_sent(replica, monotonic())

        def make(now: float) -> bytes:
            return self._task.encode(replica, deadline, now)

        request = Request(
            make,
            self._task.request_id,
            self._task.is_head,
            self._task.freshness,
        )
        pool = self._reach.pool(replica)
        self._calls[attempt.serial] = Call(
            pool,
            request,
            deadline,
            lambda ending: self._ended(attempt, ending),
        )

    def _cancel(self, attempt: Attempt) -> None:
        call = self._calls.pop(attempt.serial, None)
        if call is None:
            return
        now = monotonic()
        took = now - attempt.sent_at
        self._trace(attempt, 'given up', took)
        is_missed = attempt.shard not in self.answers
        if attempt.role is AttemptRole.hedge and is_missed:
            self._reach.record_hedge(self._task.route, took, is_answered=False)
        replica = attempt.replica
        router = self._reach.router
        if not call.is_sent:
            router.on_failure(replica, FailureReason.no_connection, 0, now)
            call.abandon(_ignore)
            return
        router.on_abandoned(replica, took, now)
        call.abandon(lambda ending: self._late(replica, ending))

    def _late(self, replica: Replica, ending: CallResult) -> None:
        now = monotonic()
        is_answered = isinstance(ending.outcome, Response)
        self._reach.router.on_abandoned_end(
            replica, now, is_answered=is_answered
        )

    def _ended(self, attempt: Attempt, ending: CallResult) -> None:
        if self._calls.pop(attempt.serial, None) is None:
            return
        now = monotonic()
        outcome = ending.outcome
        if isinstance(outcome, FailureReason):
            self._lose(attempt, outcome, ending.seconds, now)
            return
        reason = check_response(
            outcome,
            self._reach.names,
            must_be_success=self._task.must_be_success,
        )
        if reason is None:
            self._answered(attempt, outcome, ending.seconds, now)
            return
        if reason in _OWN_FAILURES:
            self.failure = outcome
        self._lose(attempt, reason, ending.seconds, now)

    def _answered(
        self,
        attempt: Attempt,
        response: Response,
        took: float,
        now: float,
    ) -> None:
        load = read_load(response, self._reach.names)
        self._reach.router.on_reply(attempt.replica, took, load, now)
        self._reach.record_latency(self._task.route, took)
        if attempt.role is not AttemptRole.first:
            self._trace(attempt, 'answered', took)
        if attempt.role is AttemptRole.hedge:
            whole = now - attempt.sent_at
            self._reach.record_hedge(self._task.route, whole, is_answered=True)
        self.answers[attempt.shard] = response
        records = self._task.read(response)
        reply = Reply(attempt.serial, attempt.shard, attempt.version, records)
        self._carry_out(self._gather.on_reply(reply, now))

    def _lose(
        self,
        attempt: Attempt,
        reason: FailureReason,
        took: float,
        now: float,
    ) -> None:
        ATTEMPTS_LOST.labels(reason.value).inc()
        self._trace(attempt, reason.value, took)
        self._reach.router.on_failure(attempt.replica, reason, took, now)
        lost = AttemptFailure(attempt.serial, reason)
        self._carry_out(self._gather.on_failure(lost, now))

    def _finish(self, finish: Finish) -> None:
        self._timer.stop()
        on_finish = self._on_finish
        self._on_finish = None
        if on_finish is not None:
            on_finish(finish)

    def _trace(self, attempt: Attempt, outcome: str, took: float) -> None:
        if len(self.traces) < MAX_TRACES:
            replica = attempt.replica.name
            role = attempt.role.value
            trace = Trace(attempt.shard, replica, role, outcome, round(took, 4))
            self.traces.append(trace)

    def _tick(self) -> None:
        if monotonic() - self._timer.due > LATE_TICK_SECONDS:
            # Answers may lie unread: they are taken before more is asked.
            self._loop.call_later(READ_SECONDS, self._act)
        else:
            self._act()

    def _act(self) -> None:
        if self._on_finish is None:
            return
        self._carry_out(self._gather.on_tick(monotonic()))


def _ignore(ending: CallResult) -> None:
    """Care for nothing: the call was not sent."""


_SENT = {role: ATTEMPTS.labels(role.value) for role in AttemptRole}
_OWN_FAILURES = frozenset((FailureReason.failed, FailureReason.cancelled))
