"""The event loop adapter of a gather."""

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

# Builds the message of an attempt from (attempt, seconds left).
BuildMessage = Callable[[Attempt, float], UpstreamQuery]


async def run_gather(
    gather: Gather,
    upstreams: Upstreams,
    build_message: BuildMessage,
    observer: AttemptObserver,
) -> Finish:
    """Run a query and return how it finished.

    Cancelling the call cancels every attempt in flight.
    """
    driver = _Driver(gather, upstreams, build_message, observer)
    try:
        return await driver.run()
    finally:
        driver.stop()


class _Driver:
    def __init__(
        self,
        gather: Gather,
        upstreams: Upstreams,
        build_message: BuildMessage,
        observer: AttemptObserver,
    ) -> None:
        self._gather = gather
        self._upstreams = upstreams
        self._build_message = build_message
        self._observer = observer
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[Finish] = self._loop.create_future()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._timer = WakeTimer(self._on_timer)

    async def run(self) -> Finish:
        """Start the query and wait until it finishes."""
        self._execute(self._gather.begin(self._loop.time()))
        return await self._done

    def stop(self) -> None:
        """Stop the timer and cancel every attempt in flight."""
        self._timer.stop()
        for task in self._tasks.values():
            task.cancel()

    def _execute(self, commands: list[Command]) -> None:
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
        task = self._loop.create_task(self._run_attempt(command))
        self._tasks[command.attempt.serial] = task

    def _cancel(self, serial: int) -> None:
        task = self._tasks.pop(serial, None)
        if task is not None:
            task.cancel()

    async def _run_attempt(self, command: Send) -> None:
        attempt = command.attempt
        outcome = await self._query(attempt, command.deadline)
        self._tasks.pop(attempt.serial, None)
        now = self._loop.time()
        if isinstance(outcome, Success):
            commands = self._on_answer(attempt, outcome.unwrap(), now)
        else:
            commands = self._on_failure(attempt, outcome.failure(), now)
        self._execute(commands)

    async def _query(self, attempt: Attempt, deadline: float) -> QueryResult:
        """Query the upstream; return any exception as a failure."""
        seconds_left = deadline - self._loop.time()
        try:
            message = self._build_message(attempt, seconds_left)
            return await self._upstreams.query(
                attempt.replica, message, seconds_left
            )
        except Exception as exc:
            # An error in the adapter must end the attempt with an event, or
            # the caller would go on waiting for it.
            ATTEMPT_FAULTS.labels(type(exc).__name__).inc()
            return Failure(FailureReason.garbled)

    def _on_answer(
        self,
        attempt: Attempt,
        answer: UpstreamAnswer,
        now: float,
    ) -> list[Command]:
        expected = (attempt.shard, attempt.version)
        if (answer['shard'], answer['version']) != expected:
            return self._on_failure(attempt, FailureReason.crossed, now)
        self._observer.on_answer(attempt, answer, now)
        reply = Reply(attempt.serial, *expected, answer['records'])
        return self._gather.on_reply(reply, now)

    def _on_failure(
        self,
        attempt: Attempt,
        reason: FailureReason,
        now: float,
    ) -> list[Command]:
        ATTEMPTS_LOST.labels(reason.value).inc()
        self._observer.on_failure(attempt, reason, now)
        return self._gather.on_failure(
            AttemptFailure(attempt.serial, reason), now
        )

    def _on_timer(self) -> None:
        self._execute(self._gather.on_tick(self._loop.time()))
