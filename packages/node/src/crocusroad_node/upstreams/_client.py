"""The upstreams over HTTP."""

import asyncio

from aiosonic import HttpResponse
from returns.result import Failure, Result, Success

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_node.exchange_errors import CONNECT_ERRORS, EXCHANGE_ERRORS
from crocusroad_node.upstreams._link import (
    HEADER_REFUSED,
    HEADER_REQUEST_ID,
    Link,
)
from crocusroad_node.upstreams._pool import LinkPool
from crocusroad_node.upstreams._port import QueryResult
from crocusroad_wire import (
    DecodeError,
    UpstreamAnswer,
    UpstreamHealth,
    UpstreamQuery,
    decode_json,
    encode_json,
)

PATH_QUERY = '/query'
PATH_HEALTH = '/health'
STATUS_OK = 200


class UpstreamClient:
    """Reaches replicas over HTTP, each through its own pool of links."""

    def __init__(self, links_per_replica: int, agent: str) -> None:
        self._links_per_replica = links_per_replica
        self._agent = agent
        self._pools: dict[str, LinkPool] = {}

    async def query(
        self,
        replica: Replica,
        message: UpstreamQuery,
        timeout: float,
    ) -> QueryResult:
        """Run a sub-request within `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                return await self._query(replica, message)
        except TimeoutError:
            return Failure(FailureReason.silent)

    async def health(
        self,
        replica: Replica,
        timeout: float,
    ) -> Result[UpstreamHealth, FailureReason]:
        """Return what the replica reports of itself."""
        link = Link(replica, self._agent)
        try:
            async with asyncio.timeout(timeout):
                response = await link.get(PATH_HEALTH)
                return Success(
                    decode_json(UpstreamHealth, await response.content()),
                )
        except TimeoutError:
            return Failure(FailureReason.silent)
        except EXCHANGE_ERRORS:
            return Failure(FailureReason.broken)
        finally:
            link.close()

    async def close(self) -> None:
        """Close every idle connection."""
        for pool in self._pools.values():
            pool.close()

    async def _query(
        self,
        replica: Replica,
        message: UpstreamQuery,
    ) -> QueryResult:
        pool = self._pool(replica)
        link = await pool.acquire()
        try:
            return await _exchange(link, message)
        except CONNECT_ERRORS:
            return Failure(FailureReason.connect_refused)
        except EXCHANGE_ERRORS:
            return Failure(FailureReason.broken)
        finally:
            pool.release(link)

    def _pool(self, replica: Replica) -> LinkPool:
        pool = self._pools.get(replica.address)
        if pool is None:
            pool = LinkPool(replica, self._links_per_replica, self._agent)
            self._pools[replica.address] = pool
        return pool


async def _exchange(link: Link, message: UpstreamQuery) -> QueryResult:
    body = encode_json(message)
    response = await link.post(PATH_QUERY, body, message['request_id'])
    if response.headers.get(HEADER_REQUEST_ID) != message['request_id']:
        link.close()
        return Failure(FailureReason.crossed)
    if response.status_code != STATUS_OK:
        return Failure(_refusal(response))
    return _decode(await response.content(), message)


def _refusal(response: HttpResponse) -> FailureReason:
    reason = response.headers.get(HEADER_REFUSED, '')
    if reason in FailureReason.__members__.values():
        return FailureReason(reason)
    return FailureReason.broken


def _decode(body: bytes, message: UpstreamQuery) -> QueryResult:
    try:
        answer = decode_json(UpstreamAnswer, body)
    except DecodeError:
        return Failure(FailureReason.garbled)
    if answer['request_id'] != message['request_id']:
        return Failure(FailureReason.crossed)
    return Success(answer)
