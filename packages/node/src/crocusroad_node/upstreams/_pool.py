"""The connections of this instance to one replica."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine

from returns.result import Failure, Result, Success

from crocusroad_core.gather import FailureReason
from crocusroad_core.links import SilentConnectionDetector
from crocusroad_node.counters import CONNECTION_EVENTS
from crocusroad_node.upstreams._connection import Link

SPARE_LINKS = 1  # kept open ahead of need
OPENINGS = 2  # at once
PAUSE_SECONDS = 0.2  # after an opening that failed
STALE_SECONDS = 3.0  # idle time after which a link is proved before use

LinkResult = Result[Link, FailureReason]
OpenLink = Callable[[], Awaitable[LinkResult]]
ProveLink = Callable[[Link], Awaitable[bool]]


class LinkPool:
    """Links to one replica, at most `limit()` of them at once.

    A link is handed out only after an exchange on it ended whole. Links are
    opened ahead of need, few at once, and after a failure with a pause.
    """

    def __init__(
        self,
        open_link: OpenLink,
        prove: ProveLink,
        limit: Callable[[], int],
    ) -> None:
        self._open_link = open_link
        self._prove = prove
        self._limit = limit
        self._watch = SilentConnectionDetector()
        self._loop = asyncio.get_running_loop()
        self._idle: deque[Link] = deque()
        self._busy: set[Link] = set()
        self._waiters: deque[asyncio.Future[LinkResult]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending = 0  # links being opened or proved
        self._unproved: list[float] = []  # when links failed their proof
        self._pause_until = self._loop.time()
        self._reason = FailureReason.no_connection

    @property
    def has_room(self) -> bool:
        """Tell whether a link is idle or may be opened."""
        return bool(self._idle) or self._count() < self._limit()

    async def acquire(self) -> LinkResult:
        """Return a link, or why there is none; wait until one is free."""
        link = self._take_idle()
        if link is not None:
            return Success(link)
        if not self._may_wait():
            return Failure(self._reason)
        waiter: asyncio.Future[LinkResult] = self._loop.create_future()
        self._waiters.append(waiter)
        self._top_up()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def release(self, link: Link) -> None:
        """Give a link back."""
        self._busy.discard(link)
        if link.is_open and not link.has_unread():
            self._watch.on_answer(link.opened_at)
            self._offer(link)
        else:
            self._drop(link)
        self._top_up()

    def take_oldest(self) -> Link | None:
        """Return the link that has been idle longest, if one is fit."""
        self._top_up()
        if not self._idle:
            return None
        link = self._idle.popleft()
        if link.is_open and not link.has_unread():
            self._busy.add(link)
            return link
        self._drop(link)
        return None

    def on_unproved(self) -> None:
        """Take an idle link that left a health request unanswered.

        If the replica answers on the next link that is opened, the link was
        silent; if not, the replica is slow or dead.
        """
        CONNECTION_EVENTS.labels('unproved').inc()
        self._unproved.append(self._loop.time())
        self._top_up()

    def on_silent(self, when: float) -> None:
        """Take a link that was silent while the replica answered on another.

        With enough of them, every idle link older than `when` is closed.
        """
        CONNECTION_EVENTS.labels('silent').inc()
        if not self._watch.on_silent(when):
            return
        for link in list(self._idle):
            if self._watch.is_presumed_dead(link.opened_at):
                self._idle.remove(link)
                CONNECTION_EVENTS.labels('retired').inc()
                link.close()
        self._top_up()

    def close(self) -> None:
        """Close the idle links and stop the opening of new ones."""
        for task in self._tasks:
            task.cancel()
        while self._idle:
            self._idle.pop().close()

    def _count(self) -> int:
        return len(self._idle) + len(self._busy) + self._pending

    def _may_wait(self) -> bool:
        if self._busy or self._pending:
            return True
        return self._limit() > 0 and self._loop.time() >= self._pause_until

    def _take_idle(self) -> Link | None:
        now = self._loop.time()
        while self._idle:
            link = self._idle.pop()
            is_stale = now - link.proved_at > STALE_SECONDS
            if not link.is_open or link.has_unread():
                self._drop(link)
            elif is_stale or self._watch.is_suspect(link.opened_at, now):
                self._start(self._prove_one(link))
            else:
                self._busy.add(link)
                self._top_up()
                return link
        return None

    def _offer(self, link: Link) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                self._busy.add(link)
                waiter.set_result(Success(link))
                return
        if self._count() < self._limit():
            self._idle.append(link)
        else:
            CONNECTION_EVENTS.labels('surplus').inc()
            link.close()

    def _drop(self, link: Link) -> None:
        CONNECTION_EVENTS.labels('dropped').inc()
        link.close()

    def _forget(self, waiter: asyncio.Future[LinkResult]) -> None:
        if waiter.cancelled() or not waiter.done():
            return
        outcome = waiter.result()
        if isinstance(outcome, Success):
            self.release(outcome.unwrap())

    def _top_up(self) -> None:
        if self._loop.time() < self._pause_until:
            return
        waiting = sum(not waiter.done() for waiter in self._waiters)
        wanted = waiting + SPARE_LINKS - len(self._idle)
        if self._unproved:
            wanted = max(1, wanted)  # to tell a silent link from a slow replica
        room = self._limit() - self._count()
        openings = min(wanted, room, OPENINGS) - self._pending
        for _ in range(openings):
            self._start(self._open_one())

    def _start(self, job: Coroutine[None, None, None]) -> None:
        self._pending += 1
        task = self._loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_one(self) -> None:
        try:
            outcome = await self._open_link()
        finally:
            self._pending -= 1
        if isinstance(outcome, Success):
            CONNECTION_EVENTS.labels('opened').inc()
            self._offer(outcome.unwrap())
            self._count_unproved()
        else:
            self._take_refusal(outcome.failure())

    async def _prove_one(self, link: Link) -> None:
        try:
            is_proved = await self._prove(link)
        finally:
            self._pending -= 1
        if is_proved:
            self._watch.on_answer(link.opened_at)
            self._offer(link)
            return
        self._drop(link)
        self.on_unproved()

    def _count_unproved(self) -> None:
        silent = self._unproved
        self._unproved = []
        for when in silent:
            self.on_silent(when)

    def _take_refusal(self, reason: FailureReason) -> None:
        CONNECTION_EVENTS.labels(reason.value).inc()
        self._reason = reason
        self._unproved.clear()
        self._pause_until = self._loop.time() + PAUSE_SECONDS
        if self._busy and reason is FailureReason.no_connection:
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(Failure(reason))
