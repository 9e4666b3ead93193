"""The driver of one gather."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Success

from crocusroad_core.gather import (
    Attempt,
    AttemptFailure,
    Cancel,
    Command,
    FailureReason,
    Finish,
    Gather,
    Reply,
    Send,
)
from crocusroad_node.counters import ATTEMPT_FAULTS, ATTEMPTS_LOST
from crocusroad_node.gathers._observer import AttemptObserver
from crocusroad_node.upstreams import QueryResult, Upstreams
from crocusroad_node.wake_timer import WakeTimer
from crocusroad_wire import UpstreamAnswer, UpstreamQuery

# Builds the message of an attempt: (attempt, seconds left).
MakeMessage = Callable[[Attempt, float], UpstreamQuery]


async def run_gather(
    gather: Gather,
    upstreams: Upstreams,
    make_message: MakeMessage,
    observer: AttemptObserver,
) -> Finish:
    """Run a query to its end.

    Cancelling the call cancels every attempt in flight.
    """
    driver = _Driver(gather, upstreams, make_message, observer)
    try:
        return await driver.run()
    finally:
        driver.stop()


class _Driver:
    def __init__(
        self,
        gather: Gather,
        upstreams: Upstreams,
        make_message: MakeMessage,
        observer: AttemptObserver,
    ) -> None:
        self._gather = gather
        self._upstreams = upstreams
        self._make_message = make_message
        self._observer = observer
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[Finish] = self._loop.create_future()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._timer = WakeTimer(self._tick)

    async def run(self) -> Finish:
        """Run to the end."""
        self._carry_out(self._gather.begin(self._loop.time()))
        return await self._done

    def stop(self) -> None:
        """Stop the timer and every attempt."""
        self._timer.stop()
        for task in self._tasks.values():
            task.cancel()

    def _carry_out(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, Send):
                self._send(command)
            elif isinstance(command, Cancel):
                self._cancel(command.attempt.serial)
            elif not self._done.done():
                self._done.set_result(command)
        if not self._done.done():
            self._timer.set(self._gather.next_wake())

    def _send(self, command: Send) -> None:
        task = self._loop.create_task(self._attempt(command))
        self._tasks[command.attempt.serial] = task

    def _cancel(self, serial: int) -> None:
        task = self._tasks.pop(serial, None)
        if task is not None:
            task.cancel()

    async def _attempt(self, command: Send) -> None:
        attempt = command.attempt
        outcome = await self._ask(attempt, command.deadline)
        self._tasks.pop(attempt.serial, None)
        now = self._loop.time()
        if isinstance(outcome, Success):
            commands = self._answered(attempt, outcome.unwrap(), now)
        else:
            commands = self._lost(attempt, outcome.failure(), now)
        self._carry_out(commands)

    async def _ask(self, attempt: Attempt, deadline: float) -> QueryResult:
        """Ask the upstream; whatever goes wrong is a typed failure."""
        left = deadline - self._loop.time()
        try:
            message = self._make_message(attempt, left)
            return await self._upstreams.query(attempt.replica, message, left)
        except Exception as exc:
            # A fault of the adapter must not leave the caller waiting.
            ATTEMPT_FAULTS.labels(type(exc).__name__).inc()
            return Failure(FailureReason.garbled)

    def _answered(
        self,
        attempt: Attempt,
        answer: UpstreamAnswer,
        now: float,
    ) -> list[Command]:
        own = (attempt.shard, attempt.version)
        if (answer['shard'], answer['version']) != own:
            return self._lost(attempt, FailureReason.crossed, now)
        self._observer.answered(attempt, answer, now)
        reply = Reply(attempt.serial, *own, answer['records'])
        return self._gather.on_reply(reply, now)

    def _lost(
        self,
        attempt: Attempt,
        reason: FailureReason,
        now: float,
    ) -> list[Command]:
        ATTEMPTS_LOST.labels(reason.value).inc()
        self._observer.failed(attempt, reason, now)
        return self._gather.on_failure(
            AttemptFailure(attempt.serial, reason), now
        )

    def _tick(self) -> None:
        self._carry_out(self._gather.on_tick(self._loop.time()))
