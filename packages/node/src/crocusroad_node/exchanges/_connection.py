"""A client connection that carries one exchange at a time."""

import asyncio
import re
import socket
from collections.abc import Callable
from typing import Final, cast

import httptools

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges._response import Response
from crocusroad_node.exchanges._response_reader import (
    ResponseReader,
    ResponseTooLargeError,
)
from crocusroad_node.exchanges._sent_ids import SentIds

# How long a connection is used after its last response if the server announces
# no timeout: less than the shortest idle timeout that is common.
IDLE_SECONDS: Final = 4.0
# Subtracted from the timeout that the server announces: the server gives whole
# seconds, and its timer starts before the response arrives here.
IDLE_MARGIN_SECONDS: Final = 0.6
# TCP closes a connection whose peer acknowledges no data for this long.
TCP_USER_TIMEOUT_MS: Final = 3000

_TIMEOUT_PATTERN = re.compile(rb'timeout=(\d+)')

Outcome = Response | FailureReason
OnEnd = Callable[[Outcome], None]


def _do_nothing() -> None:
    """Ignore the first bytes of a response."""


class ClientConnection(asyncio.Protocol):
    """A client connection that carries one exchange at a time.

    A connection must not carry two attempts of one request: the server may send
    a second copy of its response to the first one late, and their IDs are the
    same.
    """

    def __init__(self, clock: Callable[[], float], id_header: bytes) -> None:
        self.is_open = False
        self.idle_until = float(0)
        self.has_response_started = False  # since the last request was sent
        self.last_used_at = clock()
        self._clock = clock
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._on_end: OnEnd | None = None
        self._on_response_start: Callable[[], None] = _do_nothing
        self._sent_ids = SentIds()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )
        self.is_open = True
        self.idle_until = self._clock() + IDLE_SECONDS

    def is_usable(self, max_idle_seconds: float | None, now: float) -> bool:
        """Return whether a request can be sent on the idle connection.

        `max_idle_seconds` is the longest time since its last response; None
        allows as long as the server keeps it open.
        """
        if not self.is_open or now >= self.idle_until:
            return False
        idle_seconds = now - self.last_used_at
        return max_idle_seconds is None or idle_seconds <= max_idle_seconds

    def has_carried(self, request_id: bytes, now: float) -> bool:
        """Return whether a request with this ID must not be sent on it."""
        return self._sent_ids.has(request_id, now)

    def send(
        self,
        raw: bytes,
        request_id: bytes,
        on_end: OnEnd,
        *,
        repeatable_until: float,
        is_head: bool = False,
        on_response_start: Callable[[], None] = _do_nothing,
    ) -> None:
        """Send a request and call `on_end` once with its outcome.

        `on_response_start` is called before that, when the first bytes of the
        response arrive. The request is not sent again, on any connection, after
        `repeatable_until`.
        """
        self._sent_ids.add(request_id, repeatable_until, self._clock())
        self._on_response_start = on_response_start
        self.has_response_started = False
        self._on_end = on_end
        self._reader = ResponseReader(
            self._id_header, request_id, is_head=is_head
        )
        if self._transport is not None:
            self._transport.write(raw)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the response reader."""
        reader = self._reader
        if reader is None:
            self.close()  # bytes that belong to no request
            return
        self._on_first_bytes()
        try:
            reader.feed(data)
        except (httptools.HttpParserError, ResponseTooLargeError):
            self.close()
            if reader.response is None:
                self._report(FailureReason.garbled)
                return
        if reader.response is not None:
            self._finish_exchange(reader)

    def write_more(self, raw: bytes) -> None:
        """Send more bytes while the response is outstanding."""
        if self._reader is not None and self._transport is not None:
            self._transport.write(raw)

    def eof_received(self) -> None:
        """Finish a response that is delimited by the end of the stream."""
        reader = self._reader
        if reader is not None:
            reader.finish()
            if reader.response is not None:
                self._finish_exchange(reader)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a request in progress as broken."""
        self.is_open = False
        self._report(FailureReason.broken)

    def close(self) -> None:
        """Abort the connection; a request in progress may have run."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _on_first_bytes(self) -> None:
        if not self.has_response_started:
            self.has_response_started = True
            self._on_response_start()

    def _finish_exchange(self, reader: ResponseReader) -> None:
        transport = self._transport
        is_sent_whole = (
            transport is not None and not transport.get_write_buffer_size()
        )
        is_reusable = (
            reader.keeps_alive and not reader.has_extra_data and is_sent_whole
        )
        if self.is_open and not is_reusable:
            self.close()
        self.last_used_at = self._clock()
        self.idle_until = self.last_used_at + _idle_limit(
            reader.keep_alive_header
        )
        if reader.response is not None:
            self._report(reader.response)

    def _report(self, outcome: Outcome) -> None:
        on_end = self._on_end
        self._on_end = None
        if self._reader is not None:
            self._reader.release()
        self._reader = None
        if on_end is not None:
            on_end(outcome)


def _idle_limit(keep_alive_header: bytes) -> float:
    match = _TIMEOUT_PATTERN.search(keep_alive_header)
    if match is None:
        return IDLE_SECONDS
    return int(match.group(1)) - IDLE_MARGIN_SECONDS
