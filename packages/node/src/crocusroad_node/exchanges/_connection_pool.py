"""Pool of client connections to one address."""

import asyncio
from collections.abc import Callable
from math import inf
from time import monotonic
from typing import Final

from crocusroad_core.gather import FailureReason
from crocusroad_core.queueing import (
    QueueEstimate,
    ServerLoad,
    ServiceTimes,
    WaitingRequest,
    WaitQueue,
)
from crocusroad_node.counters import CONNECTION_EVENTS
from crocusroad_node.exchanges._connection import ClientConnection

# A handshake between zones takes about ten milliseconds. A lost SYN is only
# resent after a second, and by then another replica is the better choice.
OPEN_TIMEOUT_SECONDS: Final = 0.4
# The connections of a process that has ended are closed within this time.
END_SECONDS: Final = 0.05
# How often the requests that wait are checked against their deadlines.
CHECK_SECONDS: Final = 0.05

# The last two are raised for hosts and ports that no address can have.
_CONNECT_ERRORS: Final = (OSError, ValueError, OverflowError)

ANY_REQUEST: Final = WaitingRequest()
AcquireResult = ClientConnection | FailureReason
OnAcquired = Callable[[AcquireResult], None]


def _always() -> float:
    return inf


class Waiter:
    """A pending request for a connection."""

    __slots__ = (
        '_on_cancel',
        'is_done',
        'on_acquired',
        'request_id',
        'waiting',
    )

    def __init__(
        self,
        on_acquired: OnAcquired,
        on_cancel: Callable[['Waiter'], None],
        request_id: bytes,
        waiting: WaitingRequest,
    ) -> None:
        self.on_acquired = on_acquired
        self.request_id = request_id
        self.waiting = waiting  # decides when the request is sent
        self.is_done = False
        self._on_cancel = on_cancel

    def cancel(self) -> None:
        """Cancel the request for a connection."""
        if not self.is_done:
            self.is_done = True
            self._on_cancel(self)

    def resolve(self, result: AcquireResult) -> None:
        """Pass a connection, or why there is none, to the callback."""
        if not self.is_done:
            self.is_done = True
            self.on_acquired(result)


class ConnectionPool:
    """Pool of client connections to one address, with a limit.

    With `refuses_hopeless`, a request that waits for a connection fails as
    `overloaded` as soon as it can't be answered before its deadline.
    """

    def __init__(
        self,
        address: tuple[str, int],
        id_header: bytes,
        limit: Callable[[], int],
        *,
        refuses_hopeless: bool = False,
        answers_until: Callable[[], float] = _always,
    ) -> None:
        self._answers_until = answers_until  # no answer is of use after it
        self._address = address
        self._id_header = id_header
        self._limit = limit  # maximum number of open connections
        self._refuses_hopeless = refuses_hopeless
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._waiters: WaitQueue[Waiter] = WaitQueue()
        self._service_times = ServiceTimes()
        self._check: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_count = 0  # open or being opened
        self._is_closed = False
        self._on_checked: list[Callable[[bool], None]] = []

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

    @property
    def queue_estimate(self) -> QueueEstimate:
        """Return the estimated wait of a request that joins the queue now."""
        return self._waiters.estimate(self._load(monotonic()))

    def acquire(
        self,
        on_acquired: OnAcquired,
        request_id: bytes,
        max_idle_seconds: float | None = None,
        waiting: WaitingRequest = ANY_REQUEST,
    ) -> Waiter:
        """Request a connection and pass it, or the failure, to a callback.

        Args:
            on_acquired: Called at once if a connection is idle, otherwise
                later, with the connection or with the failure reason.
            request_id: A connection that has carried it is not used.
            max_idle_seconds: The longest time since the connection's last
                response; None allows as long as the server keeps it open.
            waiting: Decides when the request is sent if none is idle.
        """
        waiter = Waiter(on_acquired, self._waiters.remove, request_id, waiting)
        connection = self._pop_idle(request_id, max_idle_seconds)
        if connection is not None:
            self._resolve(waiter, connection)
            return waiter
        self._waiters.add(waiter, waiting)
        if self._idle and self._open_count >= self.max_connections:
            # It has carried the request; a new one takes its place.
            self._idle.pop(0).close()
            self._open_count -= 1
        if self._open_count < self.max_connections:
            self._start_opening()
        elif self._refuses_hopeless:
            self._schedule_check(0)
        return waiter

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool."""
        now = monotonic()
        is_answered = connection.is_open
        self._service_times.end(connection, now, is_answered=is_answered)
        if self._is_closed:
            connection.close()
        if not connection.is_open:
            self._on_closed()
            return
        if self._refuses_hopeless:
            self._refuse_hopeless(now, free_connections=1)
        waiter = self._next_waiter(now)
        if waiter is None:
            self._idle.append(connection)
        elif connection.has_carried(waiter.request_id, now):
            self._waiters.add(waiter, waiter.waiting)
            connection.close()
            self._on_closed()
        else:
            self._resolve(waiter, connection)

    def check_reachable(self, on_checked: Callable[[bool], None]) -> None:
        """Find out whether the server still runs, soon after a break.

        It does if a connection to it is open or can be opened. The result is
        not reported if the pool is closed meanwhile.
        """
        if not self._on_checked:
            self._loop.call_later(END_SECONDS, self._check_reachable_now)
        self._on_checked.append(on_checked)

    def warm(self, count: int) -> None:
        """Open connections in advance, up to `count` in total."""
        while self._open_count < min(count, self.max_connections):
            self._start_opening()

    def release_waiting(self) -> None:
        """Fail the pending requests: they get no connection here."""
        for waiter in self._waiters.pop_all():
            waiter.resolve(FailureReason.no_connection)

    def close(self) -> None:
        """Close the idle connections and fail the pending requests."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()
        if self._check is not None:
            self._check.cancel()
        self.release_waiting()
        for task in self._tasks:
            task.cancel()

    def _check_reachable_now(self) -> None:
        if self._is_closed:
            return
        open_idle = [conn for conn in self._idle if conn.is_open]
        self._open_count -= len(self._idle) - len(open_idle)
        self._idle = open_idle
        if open_idle or self._open_count >= self.max_connections:
            self._report_checked(is_reachable=True)
        else:
            self._start_opening(is_check=True)

    def _report_checked(self, *, is_reachable: bool) -> None:
        waiting = self._on_checked
        self._on_checked = []
        for on_checked in waiting:
            on_checked(is_reachable)

    def _pop_idle(
        self, request_id: bytes, max_idle_seconds: float | None
    ) -> ClientConnection | None:
        """Return the connection used last that may carry the request.

        Those that were idle for too long are closed.
        """
        now = monotonic()
        found: ClientConnection | None = None
        carried: list[ClientConnection] = []
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.is_usable(max_idle_seconds, now):
                connection.close()
                self._open_count -= 1
            elif connection.has_carried(request_id, now):
                carried.append(connection)
            else:
                found = connection
        self._idle.extend(reversed(carried))
        return found

    def _resolve(self, waiter: Waiter, connection: ClientConnection) -> None:
        self._service_times.start(connection, monotonic())
        waiter.resolve(connection)

    def _load(self, now: float) -> ServerLoad:
        return self._service_times.load(self._open_count, now)

    def _schedule_check(self, delay: float) -> None:
        if self._check is None:
            self._check = self._loop.call_later(delay, self._run_check)

    def _run_check(self) -> None:
        self._check = None
        if self._open_count >= self.max_connections:
            self._refuse_hopeless(monotonic())
        if self._waiters:
            self._schedule_check(CHECK_SECONDS)

    def _refuse_hopeless(self, now: float, free_connections: int = 0) -> None:
        """Fail the requests that can't be answered before their deadline."""
        load = self._load(now)
        hopeless = self._waiters.pop_hopeless(
            load, now, free_connections, self._answers_until()
        )
        for waiter in hopeless:
            CONNECTION_EVENTS.labels('queue-refused').inc()
            waiter.resolve(FailureReason.overloaded)

    def _on_closed(self) -> None:
        self._open_count -= 1
        if self._waiters and self._open_count < self.max_connections:
            self._start_opening()

    def _start_opening(self, *, is_check: bool = False) -> None:
        self._open_count += 1
        task = self._loop.create_task(self._open_connection(is_check=is_check))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_connection(self, *, is_check: bool) -> None:
        try:
            connection = await self._connect()
        except TimeoutError:
            CONNECTION_EVENTS.labels('open-timeout').inc()
            self._on_open_failed(
                FailureReason.connect_timeout, is_check=is_check
            )
        except _CONNECT_ERRORS:
            CONNECTION_EVENTS.labels('open-refused').inc()
            self._on_open_failed(
                FailureReason.connect_refused, is_check=is_check
            )
        else:
            CONNECTION_EVENTS.labels('opened').inc()
            if is_check:
                self._report_checked(is_reachable=True)
            self.release(connection)

    async def _connect(self) -> ClientConnection:
        def make_connection() -> ClientConnection:
            return ClientConnection(monotonic, self._id_header)

        async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
            _, connection = await self._loop.create_connection(
                make_connection, *self._address
            )
        return connection

    def _on_open_failed(self, reason: FailureReason, *, is_check: bool) -> None:
        self._open_count -= 1
        if is_check:
            self._report_checked(is_reachable=False)
        waiter = self._next_waiter(monotonic())
        if waiter is not None:
            waiter.resolve(reason)
        if not self._open_count:
            # No connection is left that could serve the others.
            for other in self._waiters.pop_all():
                other.resolve(reason)

    def _next_waiter(self, now: float) -> Waiter | None:
        return self._waiters.pop_next(self._load(now), now)
