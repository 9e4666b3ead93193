"""One exchange from the wait for a connection to its end."""

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges._connection import ClientConnection, Outcome
from crocusroad_node.exchanges._connection_pool import (
    ConnectionPool,
    Taken,
    Waiter,
)

# The other end answers at the deadline that it was given; its answer takes
# this many seconds at the most to come. After that the link counts as silent.
LATE_SECONDS: Final = 0.15


class CallResult(NamedTuple):
    """What came of a call."""

    outcome: Outcome
    seconds: float  # from the sending to the end; 0: it was not sent


class Request(NamedTuple):
    """What is sent."""

    make: Callable[[float], bytes]  # (now): the bytes, made as they are sent
    request_id: bytes
    is_head: bool = False
    freshness: float | None = None  # see ConnectionPool.acquire
    acknowledgement: bytes = b''  # sent when the first bytes of an answer come


class Call:
    """One exchange from the wait for a connection to its end."""

    def __init__(
        self,
        pool: ConnectionPool,
        request: Request,
        deadline: float,
        on_end: Callable[[CallResult], None],
    ) -> None:
        self._pool = pool
        self._message = request
        self._loop = asyncio.get_running_loop()
        self._on_end: Callable[[CallResult], None] | None = on_end
        self._link: ClientConnection | None = None
        self._sent_at: float = 0
        self._has_begun = False
        self._waiter: Waiter | None = None
        self._timer = self._loop.call_at(deadline + LATE_SECONDS, self._expire)
        self._waiter = pool.acquire(self._taken, request.freshness)

    @property
    def is_sent(self) -> bool:
        """Tell whether the request was sent."""
        return bool(self._sent_at)

    @property
    def has_response_started(self) -> bool:
        """Tell whether any answer came, also one that says to wait."""
        return self._has_begun or (
            self._link is not None and self._link.has_response_started
        )

    def abandon(self, on_late: Callable[[CallResult], None]) -> None:
        """Let the other end finish; `on_late` is told what comes of it.

        A call that was not sent is dropped.
        """
        self._on_end = on_late
        if not self.is_sent:
            self._on_end = None
            self._unwait()

    def abort(self) -> None:
        """Stop the work at the other end by closing the connection."""
        self._on_end = None
        if self._link is None:
            self._unwait()
        else:
            self._link.close()

    def _taken(self, taken: Taken) -> None:
        if isinstance(taken, FailureReason):
            self._timer.cancel()
            self._tell(taken)
            return
        now = monotonic()
        self._link = taken
        self._sent_at = now
        taken.send(
            self._message.make(now),
            self._message.request_id,
            self._ended,
            is_head=self._message.is_head,
            on_begun=self._begun,
        )

    def _begun(self) -> None:
        if self._link is not None and self._message.acknowledgement:
            self._link.add(self._message.acknowledgement)

    def _ended(self, outcome: Outcome) -> None:
        self._timer.cancel()
        self._has_begun = self.has_response_started
        link = self._link
        self._link = None
        if link is not None:
            self._pool.release(link)
        self._tell(outcome)

    def _expire(self) -> None:
        if self._link is None:
            self._unwait()
            self._tell(FailureReason.no_connection)
            return
        self._tell(FailureReason.silent)
        self._link.close()

    def _unwait(self) -> None:
        self._timer.cancel()
        if self._waiter is not None:
            self._waiter.cancel()

    def _tell(self, outcome: Outcome) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            took = monotonic() - self._sent_at if self.is_sent else 0
            on_end(CallResult(outcome, took))
