"""A single HTTP call, from waiting for a connection to its result."""

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple

from crocusroad_core.gather import FailureReason
from crocusroad_core.queueing import WaitingRequest
from crocusroad_node.exchanges._connection import ClientConnection, Outcome
from crocusroad_node.exchanges._connection_pool import (
    ANY_REQUEST,
    AcquireResult,
    ConnectionPool,
    Waiter,
)

# The server may respond right at the deadline that it was given, and the
# response then needs up to this many seconds to arrive. A connection without a
# response by then is reported as silent.
RESPONSE_GRACE_SECONDS: Final = 0.15


class CallResult(NamedTuple):
    """The outcome of a call and its duration."""

    outcome: Outcome
    seconds: float  # from sending the request to its end; 0: it was not sent


class Request(NamedTuple):
    """A request to send and how to send it."""

    encode: Callable[[float], bytes]  # takes `now`; called when it is sent
    request_id: bytes
    is_head: bool = False
    max_idle_seconds: float | None = None  # see ConnectionPool.acquire
    acknowledgement: bytes = b''  # sent when response bytes arrive
    waiting: WaitingRequest = ANY_REQUEST  # see ConnectionPool.acquire


class Call:
    """A single HTTP call, from waiting for a connection to its result."""

    def __init__(
        self,
        pool: ConnectionPool,
        request: Request,
        deadline: float,
        on_end: Callable[[CallResult], None],
    ) -> None:
        self._pool = pool
        self._request = request
        self._deadline = deadline
        self._loop = asyncio.get_running_loop()
        self._on_end: Callable[[CallResult], None] | None = on_end
        self._connection: ClientConnection | None = None
        self._sent_at: float = 0
        self._has_response_started = False
        self._waiter: Waiter | None = None
        self._timer = self._loop.call_at(
            deadline + RESPONSE_GRACE_SECONDS, self._expire
        )
        self._waiter = pool.acquire(
            self._on_acquired,
            request.request_id,
            request.max_idle_seconds,
            request.waiting,
        )

    @property
    def is_sent(self) -> bool:
        """Return whether the request was sent."""
        return bool(self._sent_at)

    @property
    def has_response_started(self) -> bool:
        """Return whether response bytes arrived, even of a 1xx response."""
        return self._has_response_started or (
            self._connection is not None
            and self._connection.has_response_started
        )

    def abandon(self, on_late_result: Callable[[CallResult], None]) -> None:
        """Let the server finish, and pass the result to `on_late_result`.

        A call that was not sent is dropped without a result.
        """
        self._on_end = on_late_result
        if not self.is_sent:
            self._on_end = None
            self._cancel_wait()

    def abort(self) -> None:
        """Close the connection, so that the server stops its work."""
        self._on_end = None
        if self._connection is None:
            self._cancel_wait()
        else:
            self._connection.close()

    def _on_acquired(self, acquired: AcquireResult) -> None:
        if isinstance(acquired, FailureReason):
            self._timer.cancel()
            self._report(acquired)
            return
        now = monotonic()
        self._connection = acquired
        self._sent_at = now
        acquired.send(
            self._request.encode(now),
            self._request.request_id,
            self._on_outcome,
            repeatable_until=self._deadline,
            is_head=self._request.is_head,
            on_response_start=self._send_acknowledgement,
        )

    def _send_acknowledgement(self) -> None:
        if self._connection is not None and self._request.acknowledgement:
            self._connection.write_more(self._request.acknowledgement)

    def _on_outcome(self, outcome: Outcome) -> None:
        self._timer.cancel()
        self._has_response_started = self.has_response_started
        connection = self._connection
        self._connection = None
        if connection is not None:
            self._pool.release(connection)
        self._report(outcome)

    def _expire(self) -> None:
        if self._connection is None:
            self._cancel_wait()
            self._report(FailureReason.no_connection)
            return
        self._report(FailureReason.silent)
        self._connection.close()

    def _cancel_wait(self) -> None:
        self._timer.cancel()
        if self._waiter is not None:
            self._waiter.cancel()

    def _report(self, outcome: Outcome) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            elapsed = monotonic() - self._sent_at if self.is_sent else 0
            on_end(CallResult(outcome, elapsed))
