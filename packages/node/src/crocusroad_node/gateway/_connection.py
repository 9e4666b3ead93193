"""A caller's connection."""

import asyncio
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Final, Protocol, cast

import httptools

from crocusroad_core.routes import RequestLimits
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    encode_reply,
    error_reply,
)
from crocusroad_node.gateway._request import CallerRequest

MAX_WAITING: Final = 4  # requests sent ahead on one connection

_PROCESSING: Final = b'HTTP/1.1 102 Processing\r\n\r\n'

# Begins the work on a request; the answer goes to the function given.
# Returns a function that stops the work because the caller has left.
RequestHandler = Callable[
    [CallerRequest, SendReply],
    Callable[[], None],
]


class ConnectionContext(Protocol):
    """What connections share."""

    @property
    def limits(self) -> RequestLimits:
        """Return what callers may send, as is in force now."""

    @property
    def is_draining(self) -> bool:
        """Tell whether connections close after their answer."""

    connections: set['CallerConnection']
    acknowledged_header: (
        bytes  # requests with this header are, at once; b'': none
    )

    def handle_notification(self, req: CallerRequest) -> bool:
        """Tell whether a request is news that nobody answers."""


class CallerConnection(asyncio.Protocol):
    """Reads requests one after the other, and answers them in order."""

    def __init__(self, host: ConnectionContext, begin: RequestHandler) -> None:
        self._host = host
        self._begin = begin
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[CallerRequest, bool]] = deque()
        self._stop: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_busy = False
        self._closes = False  # nothing more is read or answered
        self._is_spoilt = False  # closes after the answers in progress
        self._start_message()

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being read or answered."""
        return self._is_busy or self._seen > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._host.connections.add(self)
        self._wait_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work that nobody waits for any more."""
        self._host.connections.discard(self)
        self._closes = True
        self._stop_timer()
        self._waiting.clear()
        stop = self._stop
        self._stop = None
        self._transport = None
        if stop is not None:
            stop()

    def eof_received(self) -> None:
        """Take the caller's end; returning None closes the connection."""

    def data_received(self, data: bytes) -> None:
        """Take bytes."""
        if self._closes or self._is_spoilt:
            return
        if not self._seen and not self._is_busy:
            self._set_timer(self._host.limits.header_seconds, self._slow)
        self._seen += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, 'upgrades are not served')
        except httptools.HttpParserCallbackError:
            self._refuse(self._fault or 400, 'the request is too large')
        except httptools.HttpParserError as exc:
            self._refuse(400, f'not an HTTP request: {exc}')
        if self._seen > self._host.limits.header_bytes and not self._has_head:
            self._refuse(431, 'the headers are too large')

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take a header."""
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Take the end of the headers."""
        self._has_head = True
        if not self._is_busy:
            self._set_timer(self._host.limits.idle_seconds, self._slow)
        size = sum(len(name) + len(text) for name, text in self._headers)
        if size + len(self._target) > self._host.limits.header_bytes:
            self._fault = 431
            raise ValueError('headers too large')
        names = [name.lower() for name, _ in self._headers]
        if names.count(b'host') != 1 or names.count(b'content-length') > 1:
            self._fault = 400
            raise ValueError('host or length given more than once')
        if (b'expect', b'100-continue') in (
            (name.lower(), text.lower()) for name, text in self._headers
        ):
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self._host.limits.body_bytes:
            self._fault = 413
            raise ValueError('body too large')

    def on_message_complete(self) -> None:
        """Take the end of a request."""
        req = CallerRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b''.join(self._body),
            monotonic(),
        )
        self._start_message()
        if self._host.handle_notification(req):
            return
        self._waiting.append((req, self._parser.should_keep_alive()))
        self._next()

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is read or answered."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    def _start_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._seen = 0  # bytes of the request being read
        self._has_head = False
        self._fault = 0  # status of a fault found while reading

    def _next(self) -> None:
        if self._is_busy or not self._waiting or self._closes:
            return
        req, keeps_alive = self._waiting.popleft()
        self._is_busy = True
        self._stop_timer()
        answered = False

        def answer(reply: Reply) -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._answer(req, reply, keeps_alive=keeps_alive)

        header = self._host.acknowledged_header
        if header and req.header(header):
            self._write(_PROCESSING)
        stop = self._begin(req, answer)
        if not answered:
            self._stop = stop

    def _answer(
        self,
        req: CallerRequest,
        reply: Reply,
        *,
        keeps_alive: bool,
    ) -> None:
        self._stop = None
        self._is_busy = False
        is_last = self._is_spoilt and not self._waiting
        is_last = is_last or not keeps_alive or reply.must_close
        closes = is_last or self._host.is_draining
        raw = encode_reply(reply, closes=closes, is_head=req.is_head)
        self._write(raw)
        if closes:
            self._finish()
            return
        if self._waiting:
            self._loop.call_soon(self._next)
        else:
            self._wait_idle()

    def _refuse(self, status: int, why: str) -> None:
        if self._is_busy or self._waiting:
            # Answers go out in order; what came behind them is not read on.
            self._is_spoilt = True
            return
        if self._closes:
            return
        reply = error_reply(status, why)
        self._write(encode_reply(reply, closes=True, is_head=False))
        self._finish()

    def _slow(self) -> None:
        self._refuse(408, 'the request did not arrive in time')

    def _wait_idle(self) -> None:
        self._set_timer(self._host.limits.idle_seconds, self._finish)

    def _finish(self) -> None:
        self._closes = True
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()

    def _set_timer(self, seconds: float, act: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, act)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write(self, raw: bytes) -> None:
        if self._transport is not None:
            self._transport.write(raw)
