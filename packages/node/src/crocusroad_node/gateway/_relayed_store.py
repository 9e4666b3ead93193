"""Reads of the store through other instances that have a copy of it."""

import asyncio
import logging
import zlib
from collections.abc import Callable, Iterable
from contextlib import suppress
from time import monotonic
from typing import Final
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.counters import STORE_CALLS
from crocusroad_node.gateway._crash_reports import TimedReport
from crocusroad_node.gateway._relay_server import (
    FULL_LISTING,
    RELAY_PATH,
    RelayBatch,
)
from crocusroad_node.gateway._store_http_client import StoreHttpClient
from crocusroad_node.kv import Batch, KeyValue, StoreFault
from crocusroad_node.logs import log_event
from crocusroad_wire import make_json_decoder

_logger = logging.getLogger(__name__)

# Longest wait that a source is asked for, in seconds. A source that does not
# answer within the slack after it is given up, early enough to ask another one
# within the bound for noticing a replica that leaves.
RELAY_WAIT_SECONDS: Final = 1.0
RELAY_SLACK_SECONDS: Final = 0.5
# Longest time that a call spends on sources, however many do not answer. A
# change that it waits for is still learned from the store within the bound for
# applying a configuration.
SOURCES_SECONDS: Final = 2.0
# Longest wait for a listing. After the first source that does not give one, the
# store is asked: an instance that starts refuses its callers meanwhile, and if
# all have restarted, no source has a copy yet.
RELAY_LIST_SECONDS: Final = 0.2
# Longest wait for the members, who are the sources, before the first listing.
MEMBERS_WAIT_SECONDS: Final = 0.2
# Faults of a source that is most often back soon: it has just lost the store,
# or its process restarts.
_BRIEF_FAULTS: Final = frozenset((StoreFault.behind, StoreFault.refused))
# Backoff before the store is asked again after a fault, in seconds, while
# other instances read it. Changes are learned from those meanwhile.
STORE_BACKOFF_SECONDS: Final = 2.0
# Of a batch. A listing of the largest fleet has a few megabytes.
MAX_BATCH_BYTES: Final = 64 * 1024 * 1024
_decode_batch = make_json_decoder(RelayBatch)


class RelayedStore:
    """Lists and watches keys at a source, or at the store if none answers.

    Sources are the instances of the fleet that read the store for the others.
    """

    def __init__(
        self,
        kv: KeyValue,
        selector: SourceSelector,
        client: Callable[[FleetMember], StoreHttpClient],
        on_crashes: Callable[[list[TimedReport]], None],
    ) -> None:
        self._kv = kv
        self._client = client
        self._on_crashes = on_crashes
        self._selector = selector
        # Prefixes whose last call went to the store itself.
        self._direct_prefixes: set[str] = set()
        # Earliest time of the next call to the store, by prefix.
        self._backoff_until: dict[str, float] = {}
        self._has_members = asyncio.Event()

    def on_members(self, members: Iterable[FleetMember]) -> None:
        """Replace the instances from which the sources are chosen."""
        self._selector.on_members(members)
        self._has_members.set()

    def is_direct(self, prefix: str) -> bool:
        """Tell whether the last call for a prefix went to the store itself."""
        return prefix in self._direct_prefixes

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry below a prefix; see `KeyValue`."""
        with suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_WAIT_SECONDS):
                await self._has_members.wait()
        relayed = await self._read_relayed(prefix, FULL_LISTING, 0)
        if relayed is not None:
            return relayed
        return self._record_reply(prefix, await self._kv.list(prefix))

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        """Return the changes after a revision; see `KeyValue`."""
        relayed = await self._read_relayed(
            prefix,
            after,
            min(wait, RELAY_WAIT_SECONDS),
        )
        if relayed is not None:
            return relayed
        return self._record_reply(
            prefix,
            await self._kv.watch(prefix, after, wait),
        )

    async def _read_relayed(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault] | None:
        """Ask the sources in turn; return None to ask the store itself.

        Each waits for changes only as long as time is left for another one.
        """
        until = monotonic() + SOURCES_SECONDS
        self._direct_prefixes.discard(prefix)
        is_disconnected = self._is_backing_off(prefix)
        sources = self._selector.sources(
            monotonic(),
            is_disconnected=is_disconnected,
        )
        while sources and monotonic() < until:
            source = sources.pop(0)
            reply = await self._ask(source, prefix, after, wait, until)
            if isinstance(reply, Success):
                STORE_CALLS.labels(prefix, 'relayed').inc()
                return reply
            fault = reply.failure()
            if fault is StoreFault.compacted:
                return reply
            log_event(
                _logger,
                'source given up',
                source=source.name,
                prefix=prefix,
                fault=fault.value,
            )
            self._selector.on_fault(
                source,
                monotonic(),
                is_unresponsive=fault not in _BRIEF_FAULTS,
            )
            if after == FULL_LISTING:
                break
        if self._selector.is_follower and is_disconnected:
            return Failure(StoreFault.behind)
        self._direct_prefixes.add(prefix)
        return None

    def _is_backing_off(self, prefix: str) -> bool:
        return monotonic() < self._backoff_until.get(prefix, float(0))

    def _record_reply(
        self,
        prefix: str,
        reply: Result[Batch, StoreFault],
    ) -> Result[Batch, StoreFault]:
        """Set or clear the backoff after a reply of the store; return it."""
        if isinstance(reply, Success):
            self._backoff_until.pop(prefix, None)
        elif reply.failure() is not StoreFault.compacted:
            self._backoff_until[prefix] = monotonic() + STORE_BACKOFF_SECONDS
        return reply

    async def _ask(
        self,
        source: FleetMember,
        prefix: str,
        after: int,
        wait: float,
        until: float,
    ) -> Result[Batch, StoreFault]:
        """Ask a source for changes; give it up at `until` at the latest."""
        left = until - monotonic()
        wait = min(wait, max(0, left - RELAY_SLACK_SECONDS))
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait': wait},
            safe='/',
            quote_via=quote,
        )
        is_listing = after == FULL_LISTING
        seconds = (
            RELAY_LIST_SECONDS if is_listing else wait + RELAY_SLACK_SECONDS
        )
        reply = await self._client(source).exchange(
            'GET', f'{RELAY_PATH}?{query}', b'', min(seconds, left)
        )
        if not isinstance(reply, Success):
            return Failure(reply.failure())
        response = reply.unwrap()
        if response.status == 410:
            return Failure(StoreFault.compacted)
        if response.status != 200:
            return Failure(StoreFault.behind)
        try:
            batch = _decode_batch(_decompress(response.body))
        except ValueError:
            return Failure(StoreFault.unavailable)
        self._on_crashes(batch.crashes)
        return Success(Batch(batch.revision, batch.entries, batch.age))


def _decompress(body: bytes) -> bytes:
    """Return the decompressed bytes.

    Raises:
        ValueError: They are not compressed, incomplete or too many.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(body, MAX_BATCH_BYTES)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if not decompressor.eof:
        raise ValueError(f'the batch ends early or exceeds {MAX_BATCH_BYTES}')
    return raw
