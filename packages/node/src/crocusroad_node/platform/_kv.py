"""The platform's KV over HTTP."""

import asyncio
from typing import Any
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from crocusroad_node.exchange_errors import CONNECT_ERRORS, EXCHANGE_ERRORS
from crocusroad_node.kv import Batch, Entry, StoreFault
from crocusroad_node.platform._http_client_pool import (
    CONNECT_SECONDS,
    HttpClientPool,
    Response,
)
from crocusroad_wire import DecodeError, decode_json, encode_json

CALL_SECONDS = 2.0

_FAULTS = {
    404: StoreFault.lease_gone,
    409: StoreFault.conflict,
    410: StoreFault.compacted,
    503: StoreFault.unavailable,
}
STATUS_OK = 200

Reply = dict[str, Any]


class HttpKeyValue:
    """The KV behind a URL."""

    def __init__(self, url: str) -> None:
        self._clients = HttpClientPool(url)

    async def read(self, key: str) -> Result[Entry | None, StoreFault]:
        """Return an entry, or None if there is none."""
        reply = await self._call('GET', f'/kv/{quote(key, safe="")}')
        return reply.map(lambda body: _entry(body) if body else None)

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry below a prefix and the store's revision."""
        query = urlencode({'prefix': prefix})
        reply = await self._call('GET', f'/list?{query}')
        return reply.map(_batch)

    async def swap(
        self,
        key: str,
        value: str | None,
        expected: int,
        lease: str = '',
    ) -> Result[int, StoreFault]:
        """Write a key if its revision is `expected`."""
        body = {'value': value, 'expected': expected, 'lease': lease}
        # Not PUT: the client library repeats idempotent methods by itself,
        # and a swap that is repeated unseen reports a conflict with itself.
        reply = await self._call('POST', f'/kv/{quote(key, safe="")}', body)
        return reply.map(lambda written: int(written['revision']))

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        """Return the changes after a revision."""
        query = urlencode({'prefix': prefix, 'after': after, 'wait': wait})
        reply = await self._call(
            'GET',
            f'/watch?{query}',
            seconds=wait + CALL_SECONDS,
        )
        return reply.map(_batch)

    async def grant(self, ttl: float) -> Result[str, StoreFault]:
        """Return a new lease."""
        reply = await self._call('POST', '/leases', {'ttl': ttl})
        return reply.map(lambda granted: str(granted['lease']))

    async def renew(self, lease: str) -> Result[None, StoreFault]:
        """Let a lease run for its whole time again."""
        reply = await self._call('POST', f'/leases/{lease}', {})
        return reply.map(lambda _: None)

    async def _call(
        self,
        method: str,
        path: str,
        body: Reply | None = None,
        seconds: float = CALL_SECONDS,
    ) -> Result[Reply, StoreFault]:
        raw = b'' if body is None else encode_json(body)
        try:
            async with asyncio.timeout(seconds + CONNECT_SECONDS):
                response = await self._clients.exchange(
                    method,
                    path,
                    raw,
                    seconds,
                )
        except CONNECT_ERRORS:
            return Failure(StoreFault.unavailable)
        except EXCHANGE_ERRORS:
            return Failure(StoreFault.unknown)
        return _parsed(response)


def _parsed(response: Response) -> Result[Reply, StoreFault]:
    if response.status != STATUS_OK:
        fault = _FAULTS.get(response.status, StoreFault.unknown)
        return Failure(fault)
    try:
        return Success(decode_json(dict, response.body))
    except DecodeError:
        return Failure(StoreFault.unknown)


def _entry(raw: Reply) -> Entry:
    return Entry(raw['key'], raw['value'], raw['revision'])


def _batch(raw: Reply) -> Batch:
    entries = [_entry(one) for one in raw['entries']]
    return Batch(raw['revision'], entries)
