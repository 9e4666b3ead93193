"""The connections to one address."""

import asyncio
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Final

from crocusroad_core.gather import FailureReason
from crocusroad_node.counters import CONNECTION_EVENTS
from crocusroad_node.exchanges._connection import ClientConnection

# A handshake takes some ten milliseconds between zones; a lost opening
# packet is only sent again after a second, when another replica is better.
OPEN_SECONDS: Final = 0.4

Taken = ClientConnection | FailureReason
OnTaken = Callable[[Taken], None]


class Waiter:
    """One that waits for a link."""

    __slots__ = ('is_over', 'on_taken')

    def __init__(self, on_taken: OnTaken) -> None:
        self.on_taken = on_taken
        self.is_over = False

    def cancel(self) -> None:
        """Stop waiting."""
        self.is_over = True

    def give(self, taken: Taken) -> None:
        """End the wait."""
        if not self.is_over:
            self.is_over = True
            self.on_taken(taken)


class ConnectionPool:
    """The connections to one address: those at rest, and room for more."""

    def __init__(
        self,
        address: tuple[str, int],
        id_header: bytes,
        limit: Callable[[], int],
    ) -> None:
        self._address = address
        self._id_header = id_header
        self._limit = limit  # connections that may be open
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._waiters: deque[Waiter] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = 0  # connections open or being opened
        self._is_closed = False

    @property
    def has_idle_connection(self) -> bool:
        """Tell whether a connection is at rest, ready to be used."""
        if not self._idle:
            return False
        last = self._idle[-1]
        return last.is_open and monotonic() < last.idle_until

    @property
    def most(self) -> int:
        """Return how many connections may be open."""
        return max(1, self._limit())

    def acquire(
        self, on_taken: OnTaken, freshness: float | None = None
    ) -> Waiter:
        """Take a link; `on_taken` gets it, or why there is none.

        Args:
            on_taken: Called at once if a link is at rest, else later.
            freshness: Seconds since the link's last answer at the most;
                None: as long as the other end keeps it.
        """
        waiter = Waiter(on_taken)
        link = self._rested(freshness)
        if link is not None:
            waiter.give(link)
            return waiter
        self._waiters.append(waiter)
        if self._open < self.most:
            self._start_opening()
        return waiter

    def release(self, link: ClientConnection) -> None:
        """Give a link back."""
        if self._is_closed:
            link.close()
        if not link.is_open:
            self._forget()
            return
        waiter = self._next_waiter()
        if waiter is None:
            self._idle.append(link)
        else:
            waiter.give(link)

    def warm(self, count: int) -> None:
        """Open connections ahead of need, up to `count` in all."""
        while self._open < min(count, self.most):
            self._start_opening()

    def close(self) -> None:
        """Close what is at rest and refuse those who wait."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()
        while self._waiters:
            self._waiters.popleft().give(FailureReason.no_connection)
        for task in self._tasks:
            task.cancel()

    def _rested(self, freshness: float | None) -> ClientConnection | None:
        now = monotonic()
        while self._idle:
            link = self._idle.pop()
            is_fresh = freshness is None or now - link.used_at <= freshness
            if link.is_open and now < link.idle_until and is_fresh:
                return link
            link.close()
            self._open -= 1
        return None

    def _forget(self) -> None:
        self._open -= 1
        is_wanted = any(not one.is_over for one in self._waiters)
        if is_wanted and self._open < self.most:
            self._start_opening()

    def _start_opening(self) -> None:
        self._open += 1
        task = self._loop.create_task(self._open_one())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_one(self) -> None:
        try:
            link = await self._connect()
        except TimeoutError:
            CONNECTION_EVENTS.labels('open-timeout').inc()
            self._on_unopened(FailureReason.connect_timeout)
        except OSError:
            CONNECTION_EVENTS.labels('open-refused').inc()
            self._on_unopened(FailureReason.connect_refused)
        else:
            CONNECTION_EVENTS.labels('opened').inc()
            self.release(link)

    async def _connect(self) -> ClientConnection:
        def build() -> ClientConnection:
            return ClientConnection(monotonic, self._id_header)

        async with asyncio.timeout(OPEN_SECONDS):
            _, link = await self._loop.create_connection(build, *self._address)
        return link

    def _on_unopened(self, reason: FailureReason) -> None:
        self._open -= 1
        waiter = self._next_waiter()
        if waiter is not None:
            waiter.give(reason)

    def _next_waiter(self) -> Waiter | None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.is_over:
                return waiter
        return None
