"""The platform's KV over HTTP."""

import asyncio
from functools import partial
from typing import Any, TypedDict, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_node.exchange_errors import CONNECT_ERRORS, EXCHANGE_ERRORS
from crocusroad_node.kv import Batch, Entry, StoreFault
from crocusroad_node.platform._http_client_pool import (
    CONNECT_TIMEOUT_SECONDS,
    HttpClientPool,
    Response,
)
from crocusroad_wire import DecodeError, decode_json, encode_json

CALL_TIMEOUT_SECONDS = 2.0

_STATUS_FAULTS = {
    404: StoreFault.lease_gone,
    409: StoreFault.conflict,
    410: StoreFault.compacted,
    503: StoreFault.unavailable,
}
STATUS_OK = 200

JsonObject = dict[str, Any]
MessageT = TypeVar('MessageT')


class _EntryMessage(TypedDict):
    key: str
    value: str | None
    revision: int


class _BatchMessage(TypedDict):
    revision: int
    entries: list[_EntryMessage]


class _WrittenMessage(TypedDict):
    revision: int


class _GrantedMessage(TypedDict):
    lease: str | int


class HttpKeyValue:
    """A client of the platform's KV at a base URL."""

    def __init__(self, url: str) -> None:
        self._clients = HttpClientPool(url)

    async def read(self, key: str) -> Result[Entry | None, StoreFault]:
        """Return an entry, or None if the key does not exist."""
        reply = await self._call('GET', f'/kv/{quote(key, safe="")}')
        return reply.bind(_optional_entry)

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry below a prefix and the store's revision."""
        query = urlencode({'prefix': prefix})
        reply = await self._call('GET', f'/list?{query}')
        return reply.bind(_batch)

    async def swap(
        self,
        key: str,
        value: str | None,
        expected: int,
        lease: str = '',
    ) -> Result[int, StoreFault]:
        """Write a key if its revision is `expected`."""
        body = {'value': value, 'expected': expected, 'lease': lease}
        # POST, not PUT: aiosonic retries idempotent methods by itself, and a
        # retried swap would report a conflict with its own first attempt.
        reply = await self._call('POST', f'/kv/{quote(key, safe="")}', body)
        written = reply.bind(partial(_convert, _WrittenMessage))
        return written.map(lambda message: message['revision'])

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
            timeout_seconds=wait + CALL_TIMEOUT_SECONDS,
        )
        return reply.bind(_batch)

    async def grant(self, ttl: float) -> Result[str, StoreFault]:
        """Return the ID of a new lease that expires after `ttl` seconds."""
        reply = await self._call('POST', '/leases', {'ttl': ttl})
        granted = reply.bind(partial(_convert, _GrantedMessage))
        return granted.map(lambda message: str(message['lease']))

    async def renew(self, lease: str) -> Result[None, StoreFault]:
        """Restart the time to live of a lease."""
        reply = await self._call('POST', f'/leases/{lease}', {})
        return reply.map(lambda _: None)

    async def _call(
        self,
        method: str,
        path: str,
        body: JsonObject | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[JsonObject, StoreFault]:
        payload = b'' if body is None else encode_json(body)
        try:
            async with asyncio.timeout(
                timeout_seconds + CONNECT_TIMEOUT_SECONDS
            ):
                response = await self._clients.exchange(
                    method,
                    path,
                    payload,
                    timeout_seconds,
                )
        except CONNECT_ERRORS:
            return Failure(StoreFault.unavailable)
        except EXCHANGE_ERRORS:
            return Failure(StoreFault.unknown)
        return _parse_response(response)


def _parse_response(response: Response) -> Result[JsonObject, StoreFault]:
    if response.status != STATUS_OK:
        fault = _STATUS_FAULTS.get(response.status, StoreFault.unknown)
        return Failure(fault)
    try:
        return Success(decode_json(dict, response.body))
    except DecodeError:
        return Failure(StoreFault.unknown)


def _convert(
    message_type: type[MessageT], raw: JsonObject
) -> Result[MessageT, StoreFault]:
    try:
        return Success(msgspec.convert(raw, message_type))
    except DecodeError:
        return Failure(StoreFault.unknown)


def _optional_entry(raw: JsonObject) -> Result[Entry | None, StoreFault]:
    return _convert(_EntryMessage, raw).map(_entry) if raw else Success(None)


def _entry(message: _EntryMessage) -> Entry:
    return Entry(message['key'], message['value'], message['revision'])


def _batch(raw: JsonObject) -> Result[Batch, StoreFault]:
    return _convert(_BatchMessage, raw).map(
        lambda message: Batch(
            message['revision'], [_entry(item) for item in message['entries']]
        )
    )
