"""Client of the platform's metadata store."""

import base64
from typing import Final, Protocol, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_node.exchanges import Response
from crocusroad_node.kv import Batch, Entry, LeasedEntry, StoreFault
from crocusroad_wire import DecodeError, decode_json

CALL_TIMEOUT_SECONDS: Final = 1.0  # a call takes a few milliseconds
WATCH_SLACK_SECONDS: Final = 0.6  # added to a watch's wait to get its timeout
MS_PER_SECOND: Final = 1000
STATUS_OK: Final = 200

MessageT = TypeVar('MessageT')

_FAULT_BY_STATUS: Final = {
    404: StoreFault.lease_gone,
    409: StoreFault.conflict,
    410: StoreFault.compacted,
    412: StoreFault.conflict,
    429: StoreFault.unavailable,
    503: StoreFault.unavailable,
}


class _StoredEntry(msgspec.Struct):
    key: str = msgspec.field(name='Key')
    value: str | None = msgspec.field(name='Value', default=None)
    revision: int = msgspec.field(name='Revision', default=0)
    lease_id: int = msgspec.field(name='LeaseId', default=0)  # 0: none
    # True when the key was removed; the entry then has no value.
    is_removed: bool = msgspec.field(name='Tombstone', default=False)


class _RangePage(msgspec.Struct):
    entries: list[_StoredEntry] = msgspec.field(name='items')
    has_more: bool = msgspec.field(name='HasMore')
    revision: int = msgspec.field(name='AsOf')  # of the store when it was read


class _WatchResponse(msgspec.Struct):
    events: list[_StoredEntry]
    revision: int = msgspec.field(name='AsOf')  # the next watch starts here


class _TxnResponse(msgspec.Struct):
    revision: int = msgspec.field(name='Revision')


class _LeaseResponse(msgspec.Struct):
    lease_id: int = msgspec.field(name='LeaseId')


class HttpTransport(Protocol):
    """HTTP client that `MetadataStore` sends its calls through."""

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        seconds: float,
    ) -> Result[Response, StoreFault]:
        """Send a request and return the response.

        Returns a fault if no response arrives within `seconds`.
        """


class MetadataStore:
    """Client of the platform's metadata store.

    Implements the `KeyValue` port and adds `list_stale` and `read_stale`.
    """

    def __init__(self, http: HttpTransport) -> None:
        self._http = http

    async def read(self, key: str) -> Result[Entry | None, StoreFault]:
        """Return the entry of a key, or None if the key does not exist."""
        reply = await self._read(key)
        return reply.map(lambda raw: None if raw is None else _to_entry(raw))

    async def read_stale(
        self, key: str
    ) -> Result[LeasedEntry | None, StoreFault]:
        """Return an entry and its lease cheaply; it may be seconds old."""
        reply = await self._read(key, Serializable=1)
        return reply.map(
            lambda raw: None if raw is None else _to_leased_entry(raw)
        )

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry under a prefix and the store's revision."""
        return await self._list(prefix)

    async def list_stale(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return a listing that is cheaper but may be seconds old."""
        return await self._list(prefix, Serializable=1)

    async def swap(
        self,
        key: str,
        value: str | None,
        expected: int,
        lease: str = '',
    ) -> Result[int, StoreFault]:
        """Write or remove a key if its revision is `expected`.

        A `value` of None removes the key; see `KeyValue`.
        """
        body = {
            'ExpectedRev': [{'Key': key, 'Revision': expected}],
            'SetKeys': [],
            'Remove': [key] if value is None else [],
        }
        if value is not None:
            # LeaseId 0 means that no lease is attached.
            row = {'Key': key, 'Value': _encode_value(value)}
            body['SetKeys'] = [row | {'LeaseId': int(lease or 0)}]
        reply = await self._post('/-/kv-txn', body, _TxnResponse)
        return reply.map(lambda written: written.revision)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        """Return the changes after a revision.

        Waits up to `wait` seconds for the first change.
        """
        query = _query_string(
            Prefix=prefix,
            after=after,
            WaitMs=int(wait * MS_PER_SECOND),
        )
        reply = await self._http.exchange(
            'GET',
            f'/-/kv-watch?{query}',
            b'',
            wait + WATCH_SLACK_SECONDS,
        )
        return reply.bind(
            lambda resp: _decode_response(resp, _WatchResponse)
        ).map(
            lambda changes: Batch(
                changes.revision, [_to_entry(event) for event in changes.events]
            )
        )

    async def grant(self, ttl: float) -> Result[str, StoreFault]:
        """Return a new lease that expires after `ttl` seconds."""
        body = {'TtlMs': int(ttl * MS_PER_SECOND)}
        reply = await self._post('/-/kv-lease', body, _LeaseResponse)
        return reply.map(lambda granted: str(granted.lease_id))

    async def renew(self, lease: str) -> Result[None, StoreFault]:
        """Extend a lease by its full time to live."""
        reply = await self._post(f'/-/kv-keep/{lease}', None, dict)
        return reply.map(lambda _: None)

    async def release(self, lease: str) -> Result[None, StoreFault]:
        """Revoke a lease; the store removes its keys."""
        reply = await self._http.exchange(
            'DELETE',
            f'/-/kv-lease-end/{lease}',
            b'',
            CALL_TIMEOUT_SECONDS,
        )
        return reply.map(lambda _: None)

    async def _post(
        self,
        target: str,
        body: object,
        message_type: type[MessageT],
    ) -> Result[MessageT, StoreFault]:
        raw = b'' if body is None else msgspec.json.encode(body)
        reply = await self._http.exchange(
            'POST', target, raw, CALL_TIMEOUT_SECONDS
        )
        return reply.bind(
            lambda response: _decode_response(response, message_type)
        )

    async def _read(
        self, key: str, **options: object
    ) -> Result[_StoredEntry | None, StoreFault]:
        target = f'/-/kv-key?{_query_string(Key=key, **options)}'
        reply = await self._http.exchange(
            'GET', target, b'', CALL_TIMEOUT_SECONDS
        )
        if not isinstance(reply, Success):
            return Failure(reply.failure())
        response = reply.unwrap()
        if response.status == 404:
            return Success(None)
        return _decode_response(response, _StoredEntry)

    async def _list(
        self,
        prefix: str,
        **options: object,
    ) -> Result[Batch, StoreFault]:
        entries: list[Entry] = []
        revision = 0
        cursor: dict[str, object] = {}
        while True:
            query = _query_string(Prefix=prefix, **options, **cursor)
            target = f'/-/kv-range?{query}'
            reply = await self._http.exchange(
                'GET', target, b'', CALL_TIMEOUT_SECONDS
            )
            decoded = reply.bind(_decode_page)
            if not isinstance(decoded, Success):
                return Failure(decoded.failure())
            page = decoded.unwrap()
            entries.extend(_to_entry(entry) for entry in page.entries)
            # The pages are not one snapshot, so the watch has to start at the
            # revision of the first page.
            revision = revision or page.revision
            if not page.has_more or not page.entries:
                return Success(Batch(revision, entries))
            cursor = {'after': page.entries[-1].key}


def _decode_response(
    response: Response, message_type: type[MessageT]
) -> Result[MessageT, StoreFault]:
    if response.status != STATUS_OK:
        fault = _FAULT_BY_STATUS.get(response.status, StoreFault.unknown)
        return Failure(fault)
    try:
        return Success(decode_json(message_type, response.body))
    except DecodeError:
        return Failure(StoreFault.unknown)


def _decode_page(response: Response) -> Result[_RangePage, StoreFault]:
    return _decode_response(response, _RangePage)


def _to_entry(raw: _StoredEntry) -> Entry:
    if raw.is_removed or raw.value is None:
        return Entry(raw.key, None, raw.revision)
    return Entry(raw.key, _decode_value(raw.value), raw.revision)


def _to_leased_entry(raw: _StoredEntry) -> LeasedEntry:
    lease = str(raw.lease_id) if raw.lease_id else ''
    return LeasedEntry(_to_entry(raw), lease)


def _decode_value(value: str) -> str:
    """Return the text of a base64 value.

    Bytes that are not UTF-8 become replacement characters; a value that is
    not base64 becomes the empty text.
    """
    try:
        return base64.b64decode(value).decode(errors='replace')
    except ValueError:
        return ''


def _encode_value(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _query_string(**parameters: object) -> str:
    return urlencode(parameters, safe='/', quote_via=quote)
