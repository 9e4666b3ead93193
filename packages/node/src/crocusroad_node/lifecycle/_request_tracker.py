"""The requests in progress on one interface of a node."""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.lifecycle._counters import CUT_SHORT
from crocusroad_node.node_lifecycle import NodeLifecycle
from crocusroad_node.web import problem_response
from crocusroad_wire import ProblemKind

RESPONSE_START: Final = 'http.response.start'
RESPONSE_BODY: Final = 'http.response.body'
CLOSE: Final = (b'connection', b'close')

Exchange = MutableMapping[str, Any]


class RequestTracker:
    """Knows the requests in progress and can end them with an answer."""

    def __init__(self, life: NodeLifecycle) -> None:
        self._life = life
        self._running: set[asyncio.Task[Any]] = set()
        self._is_shut = False
        self.idle = asyncio.Event()  # no request is in progress
        self.idle.set()
        self.last_at: float | None = None  # last request, loop time

    def abort(self) -> None:
        """End each request in progress, and refuse those still to come.

        The answer to a request in progress says that it may have run.
        """
        self._is_shut = True
        for task in self._running:
            task.cancel()

    def wrap(self, app: ASGIApp) -> ASGIApp:
        """Return the application with its requests known to this gate."""

        async def guarded(scope: Scope, receive: Receive, send: Send) -> None:
            if scope['type'] != 'http':
                await app(scope, receive, send)
                return
            self.last_at = asyncio.get_running_loop().time()
            answer = _Answer(send, self._life)
            if self._is_shut:
                await _respond(_turned_away(), scope, receive, answer.send)
                return
            await self._run(app, scope, receive, answer)

        return guarded

    async def _run(
        self,
        app: ASGIApp,
        scope: Scope,
        receive: Receive,
        answer: '_Answer',
    ) -> None:
        task = asyncio.current_task()
        assert task is not None  # noqa: S101
        self._running.add(task)
        self.idle.clear()
        try:
            await app(scope, receive, answer.send)
        except asyncio.CancelledError:
            if not self._is_shut:
                raise
            task.uncancel()
            CUT_SHORT.inc()
            await _end(scope, receive, answer)
        finally:
            self._running.discard(task)
            if not self._running:
                self.idle.set()


class _Answer:
    """The answer to one request, as far as it was sent."""

    def __init__(self, send: Send, life: NodeLifecycle) -> None:
        self._send = send
        self._life = life
        self.is_started = False

    async def send(self, message: Message) -> None:
        """Send a part; while draining, ask for a new connection."""
        if message['type'] == RESPONSE_START:
            self.is_started = True
            if self._life.draining.is_set():
                message['headers'] = [*message['headers'], CLOSE]
        await self._send(message)


async def _end(scope: Scope, receive: Receive, answer: _Answer) -> None:
    if answer.is_started:
        # A stream ends whole; its reader resumes at another instance.
        await answer.send({'type': RESPONSE_BODY, 'body': b''})
    else:
        await _respond(_cut_short(), scope, receive, answer.send)


async def _respond(
    refusal: Refusal,
    scope: Scope,
    receive: Receive,
    send: Callable[[Message], Awaitable[None]],
) -> None:
    await problem_response(refusal)(scope, receive, send)


def _turned_away() -> Refusal:
    return refuse(ProblemKind.draining, 'this instance stops now')


def _cut_short() -> Refusal:
    detail = 'this instance stopped before the request was done'
    return refuse(ProblemKind.outcome_unknown, detail, may_have_run=True)
