"""The driver of one gather."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from crocusroad_core.gather import (
    Attempt,
    Cancel,
    Command,
    Finish,
    Gather,
    Lost,
    Reply,
    Send,
)
from crocusroad_node.upstreams import QueryResult, Upstreams
from crocusroad_wire import UpstreamQuery

# Builds the message of an attempt: (attempt, seconds left).
MakeMessage = Callable[[Attempt, float], UpstreamQuery]


async def run_gather(
    gather: Gather,
    upstreams: Upstreams,
    make_message: MakeMessage,
) -> Finish:
    """Run a query to its end.

    Cancelling the call cancels every attempt in flight.
    """
    driver = _Driver(gather, upstreams, make_message)
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
    ) -> None:
        self._gather = gather
        self._upstreams = upstreams
        self._make_message = make_message
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[Finish] = self._loop.create_future()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def run(self) -> Finish:
        """Run to the end."""
        self._carry_out(self._gather.begin(self._loop.time()))
        return await self._done

    def stop(self) -> None:
        """Stop the timer and every attempt."""
        if self._timer is not None:
            self._timer.cancel()
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
        self._set_timer()

    def _send(self, command: Send) -> None:
        task = self._loop.create_task(self._attempt(command))
        self._tasks[command.attempt.serial] = task

    def _cancel(self, serial: int) -> None:
        task = self._tasks.pop(serial, None)
        if task is not None:
            task.cancel()

    async def _attempt(self, command: Send) -> None:
        attempt = command.attempt
        left = command.deadline - self._loop.time()
        outcome = await self._upstreams.query(
            attempt.replica,
            self._make_message(attempt, left),
            left,
        )
        self._tasks.pop(attempt.serial, None)
        self._carry_out(self._feed(attempt, outcome))

    def _feed(self, attempt: Attempt, outcome: QueryResult) -> list[Command]:
        now = self._loop.time()
        if not isinstance(outcome, Success):
            lost = Lost(attempt.serial, outcome.failure())
            return self._gather.on_lost(lost, now)
        answer = outcome.unwrap()
        reply = Reply(
            attempt.serial,
            answer['shard'],
            answer['version'],
            answer['records'],
        )
        return self._gather.on_reply(reply, now)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._done.done():
            wake = self._gather.next_wake()
            self._timer = self._loop.call_at(wake, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self._gather.on_tick(self._loop.time()))
