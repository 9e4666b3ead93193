"""Pool of the connections of this instance to one replica."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine

from returns.result import Failure, Result, Success

from crocusroad_core.gather import FailureReason
from crocusroad_core.links import SilentConnectionDetector
from crocusroad_node.counters import CONNECTION_EVENTS
from crocusroad_node.upstreams._connection import ReplicaConnection

SPARE_CONNECTIONS = 1  # idle connections kept open in advance
MAX_CONCURRENT_OPENS = 2  # connections
BACKOFF_SECONDS = 0.2  # after a connection failed to open
PROBE_AFTER_IDLE_SECONDS = 3.0  # then probed before use

ConnectionResult = Result[ReplicaConnection, FailureReason]
OpenConnection = Callable[[], Awaitable[ConnectionResult]]
ProbeConnection = Callable[[ReplicaConnection], Awaitable[bool]]


class ConnectionPool:
    """Pool of at most `limit()` connections to one replica.

    A connection is handed out only after a complete exchange on it.
    Connections are opened in advance, at most `MAX_CONCURRENT_OPENS` at a
    time, and after a failed one only once `BACKOFF_SECONDS` have passed.
    """

    def __init__(
        self,
        open_connection: OpenConnection,
        probe: ProbeConnection,
        limit: Callable[[], int],
    ) -> None:
        self._open_connection = open_connection
        self._probe = probe
        self._limit = limit
        self._detector = SilentConnectionDetector()
        self._loop = asyncio.get_running_loop()
        self._idle: deque[ReplicaConnection] = deque()
        self._busy: set[ReplicaConnection] = set()
        self._waiters: deque[asyncio.Future[ConnectionResult]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending = 0  # connections being opened or probed
        self._failed_probes: list[float] = []  # times, since the last open
        self._backoff_until = self._loop.time()
        self._last_failure = FailureReason.no_connection

    @property
    def has_capacity(self) -> bool:
        """Return whether a connection is idle or may be opened."""
        return bool(self._idle) or self._total() < self._limit()

    async def acquire(self) -> ConnectionResult:
        """Return a connection, or the reason why none is available.

        Waits while a connection may become free or may be opened.
        """
        conn = self._take_idle()
        if conn is not None:
            return Success(conn)
        if not self._can_wait():
            return Failure(self._last_failure)
        waiter: asyncio.Future[ConnectionResult] = self._loop.create_future()
        self._waiters.append(waiter)
        self._replenish()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon_waiter(waiter)
            raise

    def release(self, conn: ReplicaConnection) -> None:
        """Return a connection to the pool, or close it if it is unusable."""
        self._busy.discard(conn)
        if conn.is_open and not conn.is_readable():
            self._detector.on_answer(conn.opened_at)
            self._make_available(conn)
        else:
            self._drop(conn)
        self._replenish()

    def acquire_oldest(self) -> ReplicaConnection | None:
        """Return the connection that has been idle longest, if it is usable."""
        self._replenish()
        if not self._idle:
            return None
        conn = self._idle.popleft()
        if conn.is_open and not conn.is_readable():
            self._busy.add(conn)
            return conn
        self._drop(conn)
        return None

    def on_probe_failed(self) -> None:
        """Record that a health request on an idle connection got no answer.

        If the replica then answers on a new connection, the old connection
        was silent; otherwise the replica is slow or dead.
        """
        CONNECTION_EVENTS.labels('unproved').inc()
        self._failed_probes.append(self._loop.time())
        self._replenish()

    def on_silent(self, found_at: float) -> None:
        """Record a connection as silent while the replica answers on another.

        Once enough are recorded, every idle connection that was opened before
        `found_at` is closed.
        """
        CONNECTION_EVENTS.labels('silent').inc()
        if not self._detector.on_silent(found_at):
            return
        for conn in list(self._idle):
            if self._detector.is_presumed_dead(conn.opened_at):
                self._idle.remove(conn)
                CONNECTION_EVENTS.labels('retired').inc()
                conn.close()
        self._replenish()

    def close(self) -> None:
        """Close the idle connections and cancel those being opened."""
        for task in self._tasks:
            task.cancel()
        while self._idle:
            self._idle.pop().close()

    def _total(self) -> int:
        return len(self._idle) + len(self._busy) + self._pending

    def _can_wait(self) -> bool:
        if self._busy or self._pending:
            return True
        return self._limit() > 0 and self._loop.time() >= self._backoff_until

    def _take_idle(self) -> ReplicaConnection | None:
        now = self._loop.time()
        while self._idle:
            conn = self._idle.pop()
            is_stale = now - conn.last_answer_at > PROBE_AFTER_IDLE_SECONDS
            if not conn.is_open or conn.is_readable():
                self._drop(conn)
            elif is_stale or self._detector.is_suspect(conn.opened_at, now):
                self._start_task(self._probe_idle(conn))
            else:
                self._busy.add(conn)
                self._replenish()
                return conn
        return None

    def _make_available(self, conn: ReplicaConnection) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._busy.add(conn)
                waiter.set_result(Success(conn))
                return
        if self._total() < self._limit():
            self._idle.append(conn)
        else:
            CONNECTION_EVENTS.labels('surplus').inc()
            conn.close()

    def _drop(self, conn: ReplicaConnection) -> None:
        CONNECTION_EVENTS.labels('dropped').inc()
        conn.close()

    def _abandon_waiter(self, waiter: asyncio.Future[ConnectionResult]) -> None:
        if waiter.cancelled() or not waiter.done():
            return
        outcome = waiter.result()
        if isinstance(outcome, Success):
            self.release(outcome.unwrap())

    def _replenish(self) -> None:
        if self._loop.time() < self._backoff_until:
            return
        waiting = sum(not waiter.done() for waiter in self._waiters)
        needed = waiting + SPARE_CONNECTIONS - len(self._idle)
        if self._failed_probes:
            # A new connection tells a silent connection from a slow replica.
            needed = max(1, needed)
        free = self._limit() - self._total()
        missing = min(needed, free, MAX_CONCURRENT_OPENS) - self._pending
        for _ in range(missing):
            self._start_task(self._open_new())

    def _start_task(self, coro: Coroutine[None, None, None]) -> None:
        self._pending += 1
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_new(self) -> None:
        try:
            outcome = await self._open_connection()
        finally:
            self._pending -= 1
        if isinstance(outcome, Success):
            CONNECTION_EVENTS.labels('opened').inc()
            self._make_available(outcome.unwrap())
            self._record_silent()
        else:
            self._on_open_failed(outcome.failure())

    async def _probe_idle(self, conn: ReplicaConnection) -> None:
        try:
            is_answered = await self._probe(conn)
        finally:
            self._pending -= 1
        if is_answered:
            self._detector.on_answer(conn.opened_at)
            self._make_available(conn)
            return
        self._drop(conn)
        self.on_probe_failed()

    def _record_silent(self) -> None:
        failed_probes = self._failed_probes
        self._failed_probes = []
        for found_at in failed_probes:
            self.on_silent(found_at)

    def _on_open_failed(self, reason: FailureReason) -> None:
        CONNECTION_EVENTS.labels(reason.value).inc()
        self._last_failure = reason
        self._failed_probes.clear()
        self._backoff_until = self._loop.time() + BACKOFF_SECONDS
        if self._busy and reason is FailureReason.no_connection:
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(Failure(reason))
