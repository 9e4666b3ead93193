"""The upstreams over HTTP."""

import asyncio
from collections.abc import Callable, Coroutine

from returns.result import Failure, Result, Success

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.links import RecentInstances, connection_quota
from crocusroad_node.counters import LATE_ANSWERS
from crocusroad_node.upstreams._connection import Link
from crocusroad_node.upstreams._exchange import (
    ask,
    open_link,
    prove_link,
    read_health,
    send_cancel,
)
from crocusroad_node.upstreams._pool import LinkPool, LinkResult
from crocusroad_node.upstreams._port import QueryResult
from crocusroad_wire import UpstreamHealth, UpstreamQuery

CANCEL_SECONDS = 0.5
LATE_SECONDS = 0.25  # a cancelled query's answer is awaited this long
OPENINGS = 16  # links opened at once, over all replicas


class UpstreamClient:
    """Reaches replicas over HTTP, each through its own pool of links."""

    def __init__(self, name: str, zone: str, view: RecentInstances) -> None:
        self._name = name
        self._view = view
        self._agent = f'crocusroad ({name}; zone={zone})'
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, LinkPool] = {}
        self._openings = asyncio.Semaphore(OPENINGS)
        self._tasks: set[asyncio.Task[None]] = set()

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Run a sub-request within `timeout` seconds.

        Cancelling the call cancels the work on the replica.
        """
        pool = self._pool(replica)
        ends = self._loop.time() + timeout
        taken = await _within(timeout, pool.acquire())
        if not isinstance(taken, Success):
            return Failure(taken.failure())
        left = ends - self._loop.time()
        return await self._query(pool, taken.unwrap(), message, left)

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return what the replica reports of itself."""
        pool = self._pool(replica)
        link = pool.take_oldest()
        if link is None and not pool.has_room:
            return Failure(FailureReason.no_connection)
        if link is None:
            taken = await _within(timeout, pool.acquire())
            if not isinstance(taken, Success):
                return Failure(taken.failure())
            link = taken.unwrap()
        try:
            outcome = await read_health(link, timeout, self._loop.time)
        finally:
            pool.release(link)
        if not link.is_open:
            pool.on_unproved()
        return outcome

    async def close(self) -> None:
        """Close every idle connection."""
        for pool in self._pools.values():
            pool.close()
        for task in self._tasks:
            task.cancel()

    async def _query(
        self,
        pool: LinkPool,
        link: Link,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        exchange = self._loop.create_task(self._ask(pool, link, message))
        try:
            await asyncio.wait((exchange,), timeout=timeout)
        finally:
            if not exchange.done():
                self._start(self._reclaim(pool, exchange, message))
        if exchange.done():
            return exchange.result()
        return Failure(FailureReason.silent)

    async def _ask(
        self,
        pool: LinkPool,
        link: Link,
        message: UpstreamQuery,
    ) -> QueryResult:
        try:
            return await ask(link, message, self._loop.time)
        finally:
            pool.release(link)

    async def _reclaim(
        self,
        pool: LinkPool,
        exchange: asyncio.Task[QueryResult],
        message: UpstreamQuery,
    ) -> None:
        """Cancel a sub-request, and keep its link if its answer still comes.

        Without room for another link the one of the sub-request is closed
        first, so that the cancel goes on the one that takes its place.
        """
        if not pool.has_room:
            exchange.cancel()
            await asyncio.wait((exchange,))
        began = self._loop.time()
        is_heard = await self._cancel(pool, message['request_id'])
        if exchange.cancelled():
            return
        await asyncio.wait((exchange,), timeout=LATE_SECONDS)
        if exchange.done():
            LATE_ANSWERS.inc(isinstance(exchange.result(), Success))
            return
        exchange.cancel()
        if is_heard:
            pool.on_silent(began)

    async def _cancel(self, pool: LinkPool, request_id: str) -> bool:
        taken = await _within(CANCEL_SECONDS, pool.acquire())
        if not isinstance(taken, Success):
            return False
        link = taken.unwrap()
        try:
            return await send_cancel(link, request_id, CANCEL_SECONDS)
        finally:
            pool.release(link)

    def _pool(self, replica: Replica) -> LinkPool:
        pool = self._pools.get(replica.address)
        if pool is None:
            pool = self._build_pool(replica)
            self._pools[replica.address] = pool
        return pool

    def _build_pool(self, replica: Replica) -> LinkPool:
        async def open_one() -> LinkResult:
            async with self._openings:
                return await open_link(replica, self._agent, self._loop.time)

        async def prove(link: Link) -> bool:
            return await prove_link(link, self._loop.time)

        limit = _limit(self._name, self._view, replica)
        return LinkPool(open_one, prove, limit)

    def _start(self, job: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _limit(
    name: str,
    view: RecentInstances,
    replica: Replica,
) -> Callable[[], int]:
    """Return the part of the connections, worked out anew with the list."""
    seen = 0
    part = min(1, connection_quota(name, view.names, replica))

    def limit() -> int:
        nonlocal seen, part
        if seen != view.version:
            seen = view.version
            part = connection_quota(name, view.names, replica)
        return part

    return limit


async def _within(
    seconds: float,
    waiting: Coroutine[None, None, LinkResult],
) -> LinkResult:
    try:
        async with asyncio.timeout(seconds):
            return await waiting
    except TimeoutError:
        return Failure(FailureReason.no_connection)
