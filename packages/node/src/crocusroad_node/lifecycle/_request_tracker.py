"""Tracking of the requests in progress on an interface of a node."""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.lifecycle._counters import REQUESTS_CUT_SHORT
from crocusroad_node.node_lifecycle import NodeLifecycle
from crocusroad_node.web import problem_response
from crocusroad_wire import ProblemKind

RESPONSE_START: Final = 'http.response.start'
RESPONSE_BODY: Final = 'http.response.body'
CONNECTION_CLOSE: Final = (b'connection', b'close')

Exchange = MutableMapping[str, Any]


class RequestTracker:
    """Tracks the requests in progress, and can abort them with a response."""

    def __init__(self, lifecycle: NodeLifecycle) -> None:
        self._lifecycle = lifecycle
        self._in_progress: set[asyncio.Task[Any]] = set()
        self._is_aborted = False
        self.idle = asyncio.Event()  # no request is in progress
        self.idle.set()
        self.last_request_at: float | None = None  # loop time

    def abort(self) -> None:
        """Abort each request in progress, and refuse later ones.

        The response to an aborted request says that it may have run.
        """
        self._is_aborted = True
        for task in self._in_progress:
            task.cancel()

    def wrap(self, app: ASGIApp) -> ASGIApp:
        """Return an application that tracks the requests to `app`."""

        async def tracked(scope: Scope, receive: Receive, send: Send) -> None:
            if scope['type'] != 'http':
                await app(scope, receive, send)
                return
            self.last_request_at = asyncio.get_running_loop().time()
            response = _ResponseSender(send, self._lifecycle)
            if self._is_aborted:
                await _send_refusal(
                    _draining_refusal(), scope, receive, response.send
                )
                return
            await self._run(app, scope, receive, response)

        return tracked

    async def _run(
        self,
        app: ASGIApp,
        scope: Scope,
        receive: Receive,
        response: '_ResponseSender',
    ) -> None:
        task = asyncio.current_task()
        assert task is not None  # noqa: S101
        self._in_progress.add(task)
        self.idle.clear()
        try:
            await app(scope, receive, response.send)
        except asyncio.CancelledError:
            if not self._is_aborted:
                raise
            task.uncancel()
            REQUESTS_CUT_SHORT.inc()
            await _end_response(scope, receive, response)
        finally:
            self._in_progress.discard(task)
            if not self._in_progress:
                self.idle.set()


class _ResponseSender:
    """Sends the response to a request, and records whether it has started."""

    def __init__(self, send: Send, lifecycle: NodeLifecycle) -> None:
        self._send = send
        self._lifecycle = lifecycle
        self.is_started = False

    async def send(self, message: Message) -> None:
        """Send an ASGI message.

        While the node drains, the response closes the connection, so that
        the caller opens its next one to another instance.
        """
        if message['type'] == RESPONSE_START:
            self.is_started = True
            if self._lifecycle.draining.is_set():
                message['headers'] = [*message['headers'], CONNECTION_CLOSE]
        await self._send(message)


async def _end_response(
    scope: Scope, receive: Receive, response: _ResponseSender
) -> None:
    if response.is_started:
        # A stream ends properly; its reader resumes at another instance.
        await response.send({'type': RESPONSE_BODY, 'body': b''})
    else:
        await _send_refusal(_cut_short_refusal(), scope, receive, response.send)


async def _send_refusal(
    refusal: Refusal,
    scope: Scope,
    receive: Receive,
    send: Callable[[Message], Awaitable[None]],
) -> None:
    await problem_response(refusal)(scope, receive, send)


def _draining_refusal() -> Refusal:
    return refuse(ProblemKind.draining, 'this instance is shutting down')


def _cut_short_refusal() -> Refusal:
    detail = 'this instance shut down before the request completed'
    return refuse(ProblemKind.outcome_unknown, detail, may_have_run=True)
