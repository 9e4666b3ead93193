"""HTTP/1.1 connections from callers."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from time import monotonic
from typing import Final, NamedTuple, Protocol, cast

import httptools

from crocusroad_core.gather import travel_seconds
from crocusroad_core.routes import RequestLimits
from crocusroad_node.gateway._late_timers import (
    LATE_TIMER_SECONDS,
    READ_GRACE_SECONDS,
)
from crocusroad_node.gateway._lingering_close import (
    close_lingering,
    has_undelivered_bytes,
)
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    encode_reply,
    error_reply,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.gateway._round_trip import measure_round_trip
from crocusroad_node.gateway._unread_bytes import count_unread_bytes

MAX_PIPELINED: Final = 4  # requests on one connection
MAX_BYTES_PER_BODY_BYTE: Final = 8  # a chunk of one byte takes six bytes
# In which the first request on a new connection may arrive before a drain
# closes it.
FIRST_REQUEST_SECONDS: Final = 0.5

_PROCESSING: Final = b'HTTP/1.1 102 Processing\r\n\r\n'

# Starts the work on a request and sends the reply through the second argument.
# Returns a function that stops the work if the caller leaves.
RequestHandler = Callable[
    [CallerRequest, SendReply],
    Callable[[], None],
]


class CloseReason(StrEnum):
    """Why a connection was closed."""

    caller_closed = 'caller closed'
    caller_reset = 'caller reset'
    idle = 'idle'  # for as long as the configuration allows
    drained = 'drained'  # the instance stops, and no reply has announced it
    last_reply = 'last reply'  # announced by the reply
    read_timeout = 'read timeout'
    rejected = 'rejected'  # what was read is no valid request


class ConnectionState(StrEnum):
    """What a connection is doing."""

    new = 'new'  # nothing has been received
    reading = 'reading'
    busy = 'busy'  # a request is in progress
    idle = 'idle'
    closing = 'closing'  # the last reply is written; the caller may still send


class ConnectionEnd(NamedTuple):
    """How a connection was closed."""

    reason: CloseReason
    state: ConnectionState  # in which it was closed
    unread_bytes: int = 0  # that had arrived when this instance closed


class ConnectionContext(Protocol):
    """The state and settings that connections share."""

    @property
    def limits(self) -> RequestLimits:
        """Return the limits on requests that are in force now."""

    @property
    def is_draining(self) -> bool:
        """Tell whether connections are closed after their current reply."""

    connections: set['CallerConnection']
    # Requests with this header are acknowledged at once; b'': none are.
    acknowledged_header: bytes

    def handle_notification(self, req: CallerRequest) -> bool:
        """Handle a request that gets no reply; return whether it was one."""

    def on_close(
        self, end: ConnectionEnd, dropped: tuple[CallerRequest, ...]
    ) -> None:
        """Record a closed connection and its requests that had not begun."""


class CallerConnection(asyncio.Protocol):
    """Reads requests from one connection and answers them in order."""

    def __init__(
        self, context: ConnectionContext, handler: RequestHandler
    ) -> None:
        self._context = context
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: deque[tuple[CallerRequest, bool]] = deque()
        self._stop: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._round_trip: float = 0  # to the caller, in seconds
        self._opened_at = monotonic()
        self._is_new = True  # no request has been received yet
        self._is_busy = False
        self._is_closing = False  # no more reads or replies
        self._end: ConnectionEnd | None = None
        self._has_read_error = False  # close after the pending replies
        self._start_message()

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being read, waits or is processed."""
        return (
            self._is_busy or bool(self._pipelined) or self._received_bytes > 0
        )

    @property
    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        if self._is_closing:
            return ConnectionState.closing
        if self._is_busy:
            return ConnectionState.busy
        if self._has_partial_request:
            return ConnectionState.reading
        return ConnectionState.new if self._is_new else ConnectionState.idle

    @property
    def unwritten_bytes(self) -> int:
        """Return how many bytes of replies the transport still holds."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_answering(self) -> bool:
        """Tell whether the caller has no complete answer to what was read."""
        if self._is_busy or (self._pipelined and not self._is_closing):
            return True
        return self._has_undelivered_reply

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timer."""
        self._transport = cast(asyncio.Transport, transport)
        self._round_trip = measure_round_trip(
            transport.get_extra_info('socket')
        )
        self._context.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work on the current request and drop the pipelined ones."""
        self._context.connections.discard(self)
        reason = CloseReason.caller_reset if exc else CloseReason.caller_closed
        if self._end is None:
            self._end = ConnectionEnd(reason, self.state)
        dropped = [req for req, _ in self._pipelined]
        if self._has_partial_request:
            dropped.append(self._partial_request())
        self._context.on_close(self._end, tuple(dropped))
        self._is_closing = True
        self._stop_timer()
        self._pipelined.clear()
        stop = self._stop
        self._stop = None
        self._transport = None
        if stop is not None:
            stop()

    def eof_received(self) -> None:
        """Handle the end of input; returning None closes the connection."""

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and enforce the limit on the headers."""
        if self._is_closing or self._has_read_error:
            return
        if not self._received_bytes and not self._is_busy:
            self._set_timer(
                self._context.limits.header_seconds, self._on_read_timeout
            )
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, 'protocol upgrades are not supported')
        except httptools.HttpParserCallbackError:
            self._reject(
                self._error_status or 400,
                'the request is too large or has invalid headers',
            )
        except httptools.HttpParserError as exc:
            self._reject(400, f'malformed HTTP request: {exc}')
        limit = self._context.limits.header_bytes
        if not self._has_headers and self._received_bytes > limit:
            self._reject(431, 'the request headers are too large')
        elif self._received_bytes > 2 * limit + self._max_chunk_bytes:
            self._reject(413, 'the chunk headers or trailers are too large')

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are ignored."""
        if not self._has_headers:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the headers, and send 100 Continue if it is expected."""
        self._has_headers = True
        if not self._is_busy:
            self._set_timer(
                self._context.limits.idle_seconds, self._on_read_timeout
            )
        header_bytes = sum(
            len(name) + len(value) for name, value in self._headers
        )
        if header_bytes + len(self._target) > self._context.limits.header_bytes:
            self._error_status = 431
            raise ValueError('request headers too large')
        names = [name.lower() for name, _ in self._headers]
        if names.count(b'host') != 1 or names.count(b'content-length') > 1:
            self._error_status = 400
            raise ValueError('invalid Host or Content-Length headers')
        if (b'expect', b'100-continue') in (
            (name.lower(), value.lower()) for name, value in self._headers
        ):
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body, and enforce the limit on its size."""
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self._context.limits.body_bytes:
            self._error_status = 413
            raise ValueError('request body too large')

    def on_message_complete(self) -> None:
        """Queue a complete request, or handle it as a notification."""
        req = CallerRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b''.join(self._body),
            monotonic(),
            travel_seconds(self._round_trip, is_new_connection=self._is_new),
            self._close_reason,
        )
        self._is_new = False
        self._start_message()
        if self._context.handle_notification(req):
            return
        self._pipelined.append((req, self._parser.should_keep_alive()))
        self._start_next()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is there or on its way."""
        if self._is_closing:
            return
        age = monotonic() - self._opened_at
        is_awaited = self._is_new and age < FIRST_REQUEST_SECONDS
        is_idle = not self.is_busy and not is_awaited
        if is_idle and self._transport is not None and not self._unread_bytes:
            self._close(CloseReason.drained)

    @property
    def _max_chunk_bytes(self) -> int:
        """Return the most bytes that chunks of the body received may take."""
        return self._body_size * MAX_BYTES_PER_BODY_BYTE

    @property
    def _has_partial_request(self) -> bool:
        # The target may have come together with the previous request.
        return self._received_bytes > 0 or bool(self._target)

    @property
    def _unread_bytes(self) -> int:
        """Return how many bytes the kernel holds for the event loop."""
        if self._transport is None:
            return 0
        return count_unread_bytes(self._transport.get_extra_info('socket'))

    @property
    def _has_undelivered_reply(self) -> bool:
        if self._transport is None:
            return False
        return has_undelivered_bytes(self._transport)

    def _partial_request(self) -> CallerRequest:
        """Return what has been read of a request."""
        return CallerRequest(
            b'', self._target, tuple(self._headers), b'', monotonic()
        )

    def _start_message(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._received_bytes = 0  # of the current request
        self._has_headers = False
        self._error_status = 0  # HTTP status, set by parser callbacks

    def _start_next(self) -> None:
        if self._is_busy or not self._pipelined or self._is_closing:
            return
        req, keep_alive = self._pipelined.popleft()
        self._is_busy = True
        self._stop_timer()
        is_answered = False

        def send_reply(reply: Reply) -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self._send_reply(req, reply, keep_alive=keep_alive)

        header = self._context.acknowledged_header
        if header and req.header(header):
            self._write(_PROCESSING)
        stop = self._handler(req, send_reply)
        if not is_answered:
            self._stop = stop

    def _send_reply(
        self,
        req: CallerRequest,
        reply: Reply,
        *,
        keep_alive: bool,
    ) -> None:
        self._stop = None
        self._is_busy = False
        is_last = self._has_read_error and not self._pipelined
        is_last = is_last or not keep_alive or reply.must_close
        # Requests that have been read are answered before a drain closes.
        is_drained = self._context.is_draining and not self._pipelined
        is_closing = is_last or is_drained
        encoded = encode_reply(
            reply, is_closing=is_closing, is_head=req.is_head
        )
        self._write(encoded)
        if is_closing:
            self._close_lingering(CloseReason.last_reply)
            return
        if self._pipelined:
            self._loop.call_soon(self._start_next)
        else:
            self._start_idle_timer()

    def _reject(
        self,
        status: int,
        message: str,
        reason: CloseReason = CloseReason.rejected,
    ) -> None:
        if self._is_busy or self._pipelined:
            # Pending replies are sent first, in order. Nothing more is read.
            self._has_read_error = True
            return
        if self._is_closing:
            return
        reply = error_reply(status, message)
        self._write(encode_reply(reply, is_closing=True, is_head=False))
        self._close_lingering(reason)

    def _on_read_timeout(self) -> None:
        self._reject(
            408,
            'the request was not received in time',
            CloseReason.read_timeout,
        )

    def _start_idle_timer(self) -> None:
        self._set_timer(self._context.limits.idle_seconds, self._close_idle)

    def _close_idle(self) -> None:
        self._close(CloseReason.idle)

    def _close(self, reason: CloseReason) -> None:
        """Close at once, unless the caller is still receiving a reply."""
        if self._has_undelivered_reply:
            self._close_lingering(reason)
            return
        self._ignore_input(reason)
        if self._transport is not None:
            self._transport.close()

    def _close_lingering(self, reason: CloseReason) -> None:
        self._ignore_input(reason)
        if self._transport is not None and not self._transport.is_closing():
            close_lingering(self._transport, self._set_timer, monotonic())

    def _ignore_input(self, reason: CloseReason) -> None:
        self._record_end(reason)
        self._is_closing = True
        self._stop_timer()

    def _record_end(self, reason: CloseReason) -> None:
        """Record that this instance closes the connection, unless it did."""
        if self._end is None and self._transport is not None:
            unread_bytes = self._received_bytes + self._unread_bytes
            self._end = ConnectionEnd(reason, self.state, unread_bytes)

    def _close_reason(self) -> str:
        return '' if self._end is None else self._end.reason.value

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(
            seconds, self._on_timer, monotonic() + seconds, callback
        )

    def _on_timer(self, due: float, callback: Callable[[], None]) -> None:
        if monotonic() - due > LATE_TIMER_SECONDS:
            # The request may have arrived while the process was stopped.
            self._timer = self._loop.call_later(READ_GRACE_SECONDS, callback)
        else:
            callback()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _write(self, encoded: bytes) -> None:
        if self._transport is not None and not self._is_closing:
            self._transport.write(encoded)
