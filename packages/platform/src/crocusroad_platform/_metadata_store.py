"""The platform's metadata store on the users' machines."""

import base64
import binascii
from typing import Final, Protocol, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_node.exchanges import Response
from crocusroad_node.kv import Batch, Entry, StoreFault

CALL_SECONDS: Final = 1.0  # a call takes some milliseconds
WATCH_SLACK: Final = 0.6  # seconds after its wait that a watch may answer
MS_PER_SECOND: Final = 1000
STATUS_OK: Final = 200

T = TypeVar('T')

_FAULTS: Final = {
    404: StoreFault.lease_gone,
    409: StoreFault.conflict,
    410: StoreFault.compacted,
    412: StoreFault.conflict,
    429: StoreFault.unavailable,
    503: StoreFault.unavailable,
}


class _Item(msgspec.Struct):
    key: str = msgspec.field(name='Key')
    value: str | None = msgspec.field(name='Value', default=None)
    revision: int = msgspec.field(name='Revision', default=0)
    # Stands in the place of a value when the key was removed.
    is_removed: bool = msgspec.field(name='Tombstone', default=False)


class _Page(msgspec.Struct):
    entries: list[_Item] = msgspec.field(name='items')
    has_more: bool = msgspec.field(name='HasMore')
    revision: int = msgspec.field(name='AsOf')  # of the store, at the read


class _Changes(msgspec.Struct):
    events: list[_Item]
    revision: int = msgspec.field(name='AsOf')  # watch on from here


class _Written(msgspec.Struct):
    revision: int = msgspec.field(name='Revision')


class _Lease(msgspec.Struct):
    lease: int = msgspec.field(name='LeaseId')


class HttpTransport(Protocol):
    """Carries one HTTP call out."""

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        seconds: float,
    ) -> Result[Response, StoreFault]:
        """Return the response; a fault if none came in `seconds`."""


class MetadataStore:
    """The platform's metadata store on the users' machines.

    A port of `KeyValue`; `list_stale` is its own.
    """

    def __init__(self, http: HttpTransport) -> None:
        self._http = http

    async def read(self, key: str) -> Result[Entry | None, StoreFault]:
        """Return an entry, or None if there is none."""
        target = f'/-/kv-key?{_query(Key=key)}'
        reply = await self._http.exchange('GET', target, b'', CALL_SECONDS)
        if not isinstance(reply, Success):
            return Failure(reply.failure())
        response = reply.unwrap()
        if response.status == 404:
            return Success(None)
        return _decoded(response, _Item).map(_entry)

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry below a prefix and the store's revision."""
        return await self._list(prefix)

    async def list_stale(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return a listing that is cheap and may be seconds old."""
        return await self._list(prefix, Serializable=1)

    async def swap(
        self,
        key: str,
        value: str | None,
        expected: int,
        lease: str = '',
    ) -> Result[int, StoreFault]:
        """Write a key if its revision is `expected`; see `KeyValue`."""
        body = {
            'ExpectedRev': [{'Key': key, 'Revision': expected}],
            'SetKeys': [],
            'Remove': [key] if value is None else [],
        }
        if value is not None:
            # A row without a lease bears 0.
            row = {'Key': key, 'Value': _encoded(value)}
            body['SetKeys'] = [row | {'LeaseId': int(lease or 0)}]
        reply = await self._post('/-/kv-txn', body, _Written)
        return reply.map(lambda written: written.revision)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        """Return the changes after a revision; wait `wait` seconds for one."""
        query = _query(
            Prefix=prefix,
            after=after,
            WaitMs=int(wait * MS_PER_SECOND),
        )
        reply = await self._http.exchange(
            'GET',
            f'/-/kv-watch?{query}',
            b'',
            wait + WATCH_SLACK,
        )
        return reply.bind(lambda one: _decoded(one, _Changes)).map(
            lambda one: Batch(one.revision, [_entry(got) for got in one.events])
        )

    async def grant(self, ttl: float) -> Result[str, StoreFault]:
        """Return a new lease that lapses after `ttl` seconds."""
        body = {'TtlMs': int(ttl * MS_PER_SECOND)}
        reply = await self._post('/-/kv-lease', body, _Lease)
        return reply.map(lambda granted: str(granted.lease))

    async def renew(self, lease: str) -> Result[None, StoreFault]:
        """Let a lease run for its whole time again."""
        reply = await self._post(f'/-/kv-keep/{lease}', None, dict)
        return reply.map(lambda _: None)

    async def release(self, lease: str) -> Result[None, StoreFault]:
        """End a lease; its keys are removed."""
        reply = await self._http.exchange(
            'DELETE',
            f'/-/kv-lease-end/{lease}',
            b'',
            CALL_SECONDS,
        )
        return reply.map(lambda _: None)

    async def _post(
        self,
        target: str,
        body: object,
        kind: type[T],
    ) -> Result[T, StoreFault]:
        raw = b'' if body is None else msgspec.json.encode(body)
        reply = await self._http.exchange('POST', target, raw, CALL_SECONDS)
        return reply.bind(lambda one: _decoded(one, kind))

    async def _list(
        self,
        prefix: str,
        **options: object,
    ) -> Result[Batch, StoreFault]:
        entries: list[Entry] = []
        revision = 0
        after: dict[str, object] = {}
        while True:
            query = _query(Prefix=prefix, **options, **after)
            target = f'/-/kv-range?{query}'
            reply = await self._http.exchange('GET', target, b'', CALL_SECONDS)
            decoded = reply.bind(_page)
            if not isinstance(decoded, Success):
                return Failure(decoded.failure())
            page = decoded.unwrap()
            entries.extend(_entry(one) for one in page.entries)
            # Pages are not a snapshot: changes are watched from the first.
            revision = revision or page.revision
            if not page.has_more or not page.entries:
                return Success(Batch(revision, entries))
            after = {'after': page.entries[-1].key}


def _decoded(response: Response, kind: type[T]) -> Result[T, StoreFault]:
    if response.status != STATUS_OK:
        fault = _FAULTS.get(response.status, StoreFault.unknown)
        return Failure(fault)
    try:
        return Success(msgspec.json.decode(response.body, type=kind))
    except msgspec.DecodeError:
        return Failure(StoreFault.unknown)


def _page(response: Response) -> Result[_Page, StoreFault]:
    return _decoded(response, _Page)


def _entry(raw: _Item) -> Entry:
    if raw.is_removed or raw.value is None:
        return Entry(raw.key, None, raw.revision)
    return Entry(raw.key, _text(raw.value), raw.revision)


def _text(value: str) -> str:
    """Return the text of a value; bytes that are none become marks."""
    try:
        return base64.b64decode(value).decode(errors='replace')
    except binascii.Error:
        return ''


def _encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _query(**words: object) -> str:
    return urlencode(words, safe='/', quote_via=quote)
