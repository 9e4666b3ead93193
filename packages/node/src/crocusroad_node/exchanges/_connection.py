"""One connection, with at most one exchange at a time."""

import asyncio
import re
import socket
from collections.abc import Callable
from typing import Final, cast

import httptools

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges._response import Response
from crocusroad_node.exchanges._response_reader import ResponseReader

# Without an announced timeout a connection is used this long after its last
# answer, in seconds: below the shortest idle timeout that is usual.
IDLE_SECONDS: Final = 4.0
# Kept below the timeout that the other end announces, in seconds: it says
# whole seconds, and its clock starts before the answer is here.
IDLE_MARGIN_SECONDS: Final = 0.6
# A peer that acknowledges nothing for this long is gone, in milliseconds.
USER_TIMEOUT_MS: Final = 3000

_TIMEOUT = re.compile(rb'timeout=(\d+)')

Outcome = Response | FailureReason
OnEnd = Callable[[Outcome], None]


def _ignore() -> None:
    """Care nothing for the first bytes."""


class ClientConnection(asyncio.Protocol):
    """One connection, with at most one exchange at a time."""

    def __init__(self, clock: Callable[[], float], id_header: bytes) -> None:
        self.is_open = False
        self.idle_until = float(0)
        self.has_response_started = False  # bytes came since the last request
        self.used_at = clock()
        self._clock = clock
        self._id_header = id_header
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._on_end: OnEnd | None = None
        self._on_begun: Callable[[], None] = _ignore

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            USER_TIMEOUT_MS,
        )
        self.is_open = True
        self.idle_until = self._clock() + IDLE_SECONDS

    def send(
        self,
        raw: bytes,
        request_id: bytes,
        on_end: OnEnd,
        *,
        is_head: bool = False,
        on_begun: Callable[[], None] = _ignore,
    ) -> None:
        """Send a request; `on_end` is told once what came of it.

        `on_begun` is told before that when the first bytes come.
        """
        self._on_begun = on_begun
        self.has_response_started = False
        self._on_end = on_end
        self._reader = ResponseReader(
            self._id_header, request_id, is_head=is_head
        )
        if self._transport is not None:
            self._transport.write(raw)

    def data_received(self, data: bytes) -> None:
        """Take bytes."""
        reading = self._reader
        if reading is None:
            self.close()  # bytes that nobody asked for
            return
        self._begin_answer()
        try:
            reading.feed(data)
        except httptools.HttpParserError:
            self.close()
            if reading.response is None:
                self._end(FailureReason.garbled)
                return
        if reading.response is not None:
            self._complete(reading)

    def add(self, raw: bytes) -> None:
        """Send more while the answer is awaited."""
        if self._reader is not None and self._transport is not None:
            self._transport.write(raw)

    def eof_received(self) -> None:
        """Take the orderly end of what the other end sends."""
        reading = self._reader
        if reading is not None:
            reading.finish()
            if reading.response is not None:
                self._complete(reading)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        self.is_open = False
        self._end(FailureReason.broken)

    def close(self) -> None:
        """Close at once; a request in progress may have run."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _begin_answer(self) -> None:
        if not self.has_response_started:
            self.has_response_started = True
            self._on_begun()

    def _complete(self, reading: ResponseReader) -> None:
        transport = self._transport
        is_read = (
            transport is not None and not transport.get_write_buffer_size()
        )
        is_reusable = reading.keeps_alive and not reading.has_more and is_read
        if self.is_open and not is_reusable:
            self.close()
        self.used_at = self._clock()
        self.idle_until = self.used_at + _idle_seconds(reading.keep_alive)
        if reading.response is not None:
            self._end(reading.response)

    def _end(self, outcome: Outcome) -> None:
        on_end = self._on_end
        self._on_end = None
        self._reader = None
        if on_end is not None:
            on_end(outcome)


def _idle_seconds(keep_alive: bytes) -> float:
    found = _TIMEOUT.search(keep_alive)
    if found is None:
        return IDLE_SECONDS
    return int(found.group(1)) - IDLE_MARGIN_SECONDS
