"""HTTP client for upstreams."""

import asyncio
from collections.abc import Callable, Coroutine

from returns.result import Failure, Result, Success

from crocusroad_core.discovery import ReplicaNotice
from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import FailureReason
from crocusroad_core.links import RecentInstances, connection_quota
from crocusroad_node.counters import LATE_ANSWERS
from crocusroad_node.upstreams._connection import ReplicaConnection
from crocusroad_node.upstreams._exchange import (
    open_connection,
    probe_connection,
    read_health,
    send_cancel,
    send_query,
)
from crocusroad_node.upstreams._notices import UpstreamNotices
from crocusroad_node.upstreams._pool import ConnectionPool, ConnectionResult
from crocusroad_node.upstreams._port import QueryResult
from crocusroad_wire import UpstreamHealth, UpstreamQuery

CANCEL_SECONDS = 0.5
LATE_ANSWER_SECONDS = 0.25  # wait for the answer to a cancelled query
MAX_CONCURRENT_OPENS = 16  # connections, over all replicas


class UpstreamClient:
    """HTTP client with a connection pool for each replica."""

    def __init__(
        self,
        name: str,
        zone: str,
        recent_instances: RecentInstances,
        notices: UpstreamNotices,
    ) -> None:
        self._notices = notices
        self._name = name
        self._recent_instances = recent_instances
        self._user_agent = f'crocusroad ({name}; zone={zone})'
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, ConnectionPool] = {}
        self._open_semaphore = asyncio.Semaphore(MAX_CONCURRENT_OPENS)
        self._tasks: set[asyncio.Task[None]] = set()

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Send a sub-request and return its answer within `timeout` seconds.

        Cancelling the call also cancels the sub-request on the replica. A
        replica that leaves or asks for a rest meanwhile is not sent it.
        """
        pool = self._get_pool(replica)
        deadline = self._loop.time() + timeout
        acquired = await _acquire_within(timeout, pool.acquire())
        if not isinstance(acquired, Success):
            return Failure(acquired.failure())
        conn = acquired.unwrap()
        now = self._loop.time()
        if not self._notices.accepts_work(replica, now):
            pool.release(conn)
            return Failure(FailureReason.no_connection)
        return await self._query(pool, conn, message, deadline - now)

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return the health that the replica reports, within `timeout` s.

        A replica that asked for a rest is not asked.
        """
        if self._notices.is_resting(replica, self._loop.time()):
            return Failure(FailureReason.no_connection)
        pool = self._get_pool(replica)
        conn = pool.acquire_oldest()
        if conn is None and not pool.has_capacity:
            return Failure(FailureReason.no_connection)
        if conn is None:
            acquired = await _acquire_within(timeout, pool.acquire())
            if not isinstance(acquired, Success):
                return Failure(acquired.failure())
            conn = acquired.unwrap()
        try:
            outcome = await read_health(conn, timeout, self._loop.time)
        finally:
            pool.release(conn)
        if not conn.is_open:
            pool.on_probe_failed()
        return outcome

    def rest_seconds(self, shard_map: ShardMap, now: float) -> float:
        """Return when each shard has a replica that takes requests; see port.

        The result is in seconds from now.
        """
        return self._notices.rest_seconds(shard_map, now)

    async def close(self) -> None:
        """Close every idle connection and cancel the background tasks."""
        for pool in self._pools.values():
            pool.close()
        for task in self._tasks:
            task.cancel()

    async def _query(
        self,
        pool: ConnectionPool,
        conn: ReplicaConnection,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        exchange = self._loop.create_task(self._send_query(pool, conn, message))
        try:
            await asyncio.wait((exchange,), timeout=timeout)
        finally:
            if not exchange.done():
                self._start_task(
                    self._recover_connection(pool, exchange, message)
                )
        if exchange.done():
            return exchange.result()
        return Failure(FailureReason.silent)

    async def _send_query(
        self,
        pool: ConnectionPool,
        conn: ReplicaConnection,
        message: UpstreamQuery,
    ) -> QueryResult:
        try:
            return await send_query(conn, message, self._loop.time)
        finally:
            pool.release(conn)

    async def _recover_connection(
        self,
        pool: ConnectionPool,
        exchange: asyncio.Task[QueryResult],
        message: UpstreamQuery,
    ) -> None:
        """Cancel a sub-request, and keep its connection if the answer arrives.

        If the pool is at its limit, the sub-request's connection is closed
        first, so that the cancel request can use the one that replaces it.
        """
        if not pool.has_capacity:
            exchange.cancel()
            await asyncio.wait((exchange,))
        started_at = self._loop.time()
        is_confirmed = await self._send_cancel(pool, message['request_id'])
        if exchange.cancelled():
            return
        await asyncio.wait((exchange,), timeout=LATE_ANSWER_SECONDS)
        if exchange.done():
            LATE_ANSWERS.inc(isinstance(exchange.result(), Success))
            return
        exchange.cancel()
        if is_confirmed:
            pool.on_silent(started_at)

    async def _send_cancel(self, pool: ConnectionPool, request_id: str) -> bool:
        acquired = await _acquire_within(CANCEL_SECONDS, pool.acquire())
        if not isinstance(acquired, Success):
            return False
        conn = acquired.unwrap()
        try:
            return await send_cancel(conn, request_id, CANCEL_SECONDS)
        finally:
            pool.release(conn)

    def _get_pool(self, replica: Replica) -> ConnectionPool:
        pool = self._pools.get(replica.address)
        if pool is None:
            pool = self._build_pool(replica)
            self._pools[replica.address] = pool
        return pool

    def _build_pool(self, replica: Replica) -> ConnectionPool:
        def on_answer(notice: ReplicaNotice | None, asked_at: float) -> None:
            now = self._loop.time()
            self._notices.record(replica, notice, asked_at, now)

        async def open_new() -> ConnectionResult:
            if self._notices.is_resting(replica, self._loop.time()):
                return Failure(FailureReason.no_connection)
            async with self._open_semaphore:
                return await open_connection(
                    replica, self._user_agent, self._loop.time, on_answer
                )

        async def probe(conn: ReplicaConnection) -> bool:
            return await probe_connection(conn, self._loop.time)

        limit = _connection_limit(self._name, self._recent_instances, replica)
        return ConnectionPool(open_new, probe, limit)

    def _start_task(self, coro: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _connection_limit(
    name: str,
    recent_instances: RecentInstances,
    replica: Replica,
) -> Callable[[], int]:
    """Return a function that gives the quota of connections to a replica.

    The quota is recomputed when the list of instances changes.
    """
    seen_version = 0
    quota = min(1, connection_quota(name, recent_instances.names, replica))

    def limit() -> int:
        nonlocal seen_version, quota
        if seen_version != recent_instances.version:
            seen_version = recent_instances.version
            quota = connection_quota(name, recent_instances.names, replica)
        return quota

    return limit


async def _acquire_within(
    seconds: float,
    acquiring: Coroutine[None, None, ConnectionResult],
) -> ConnectionResult:
    try:
        async with asyncio.timeout(seconds):
            return await acquiring
    except TimeoutError:
        return Failure(FailureReason.no_connection)
