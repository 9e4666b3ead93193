"""Pool of client connections to one address."""

import asyncio
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Final

from crocusroad_core.gather import FailureReason
from crocusroad_node.counters import CONNECTION_EVENTS
from crocusroad_node.exchanges._connection import ClientConnection

# A handshake between zones takes about ten milliseconds. A lost SYN is only
# resent after a second, and by then another replica is the better choice.
OPEN_TIMEOUT_SECONDS: Final = 0.4

AcquireResult = ClientConnection | FailureReason
OnAcquired = Callable[[AcquireResult], None]


class Waiter:
    """A pending request for a connection."""

    __slots__ = ('is_done', 'on_acquired')

    def __init__(self, on_acquired: OnAcquired) -> None:
        self.on_acquired = on_acquired
        self.is_done = False

    def cancel(self) -> None:
        """Cancel the request for a connection."""
        self.is_done = True

    def resolve(self, result: AcquireResult) -> None:
        """Pass a connection, or why there is none, to the callback."""
        if not self.is_done:
            self.is_done = True
            self.on_acquired(result)


class ConnectionPool:
    """Pool of client connections to one address, with a limit."""

    def __init__(
        self,
        address: tuple[str, int],
        id_header: bytes,
        limit: Callable[[], int],
    ) -> None:
        self._address = address
        self._id_header = id_header
        self._limit = limit  # maximum number of open connections
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._waiters: deque[Waiter] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_count = 0  # open or being opened
        self._is_closed = False

    @property
    def has_idle_connection(self) -> bool:
        """Return whether an idle connection is ready to use."""
        if not self._idle:
            return False
        newest = self._idle[-1]
        return newest.is_open and monotonic() < newest.idle_until

    @property
    def max_connections(self) -> int:
        """Return the maximum number of open connections."""
        return max(1, self._limit())

    def acquire(
        self, on_acquired: OnAcquired, max_idle_seconds: float | None = None
    ) -> Waiter:
        """Request a connection and pass it, or the failure, to a callback.

        Args:
            on_acquired: Called at once if a connection is idle, otherwise
                later, with the connection or with the failure reason.
            max_idle_seconds: The longest time since the connection's last
                response; None allows as long as the server keeps it open.
        """
        waiter = Waiter(on_acquired)
        connection = self._pop_idle(max_idle_seconds)
        if connection is not None:
            waiter.resolve(connection)
            return waiter
        self._waiters.append(waiter)
        if self._open_count < self.max_connections:
            self._start_opening()
        return waiter

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool."""
        if self._is_closed:
            connection.close()
        if not connection.is_open:
            self._on_closed()
            return
        waiter = self._next_waiter()
        if waiter is None:
            self._idle.append(connection)
        else:
            waiter.resolve(connection)

    def warm(self, count: int) -> None:
        """Open connections in advance, up to `count` in total."""
        while self._open_count < min(count, self.max_connections):
            self._start_opening()

    def close(self) -> None:
        """Close the idle connections and fail the pending requests."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()
        while self._waiters:
            self._waiters.popleft().resolve(FailureReason.no_connection)
        for task in self._tasks:
            task.cancel()

    def _pop_idle(
        self, max_idle_seconds: float | None
    ) -> ClientConnection | None:
        now = monotonic()
        while self._idle:
            connection = self._idle.pop()
            is_recent = (
                max_idle_seconds is None
                or now - connection.last_used_at <= max_idle_seconds
            )
            if connection.is_open and now < connection.idle_until and is_recent:
                return connection
            connection.close()
            self._open_count -= 1
        return None

    def _on_closed(self) -> None:
        self._open_count -= 1
        has_waiter = any(not waiter.is_done for waiter in self._waiters)
        if has_waiter and self._open_count < self.max_connections:
            self._start_opening()

    def _start_opening(self) -> None:
        self._open_count += 1
        task = self._loop.create_task(self._open_connection())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_connection(self) -> None:
        try:
            connection = await self._connect()
        except TimeoutError:
            CONNECTION_EVENTS.labels('open-timeout').inc()
            self._on_open_failed(FailureReason.connect_timeout)
        except OSError:
            CONNECTION_EVENTS.labels('open-refused').inc()
            self._on_open_failed(FailureReason.connect_refused)
        else:
            CONNECTION_EVENTS.labels('opened').inc()
            self.release(connection)

    async def _connect(self) -> ClientConnection:
        def make_connection() -> ClientConnection:
            return ClientConnection(monotonic, self._id_header)

        async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
            _, connection = await self._loop.create_connection(
                make_connection, *self._address
            )
        return connection

    def _on_open_failed(self, reason: FailureReason) -> None:
        self._open_count -= 1
        waiter = self._next_waiter()
        if waiter is not None:
            waiter.resolve(reason)

    def _next_waiter(self) -> Waiter | None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.is_done:
                return waiter
        return None
