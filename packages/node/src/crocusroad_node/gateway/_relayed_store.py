"""The store, asked through the instances that read it."""

import logging
import zlib
from time import monotonic
from typing import Final
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.counters import STORE_CALLS
from crocusroad_node.gateway._relay_server import LIST, RELAY_PATH, RelayBatch
from crocusroad_node.gateway._store_http_client import StoreHttpClient
from crocusroad_node.kv import Batch, KeyValue, StoreFault
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

# An instance that is asked for changes answers this soon at the latest, in
# seconds; one that is silent for longer than the slack is given up, early
# enough for another to be asked within the bound on leaving replicas.
RELAY_WAIT: Final = 1.0
RELAY_SLACK: Final = 0.5
# Where other instances read the store and it did not answer this one, it is
# asked again after so many seconds: meanwhile those that read it will tell.
DIRECT_PAUSE: Final = 2.0
_decoder = msgspec.json.Decoder(RelayBatch)


class RelayedStore:
    """Lists and watches through the ring of sources, else at the store."""

    def __init__(self, kv: KeyValue, ring: SourceSelector) -> None:
        self._kv = kv
        self._ring = ring
        self._links: dict[str, StoreHttpClient] = {}  # by address
        self._direct: set[str] = set()  # prefixes last asked at the store
        self._direct_from: dict[str, float] = {}  # when next, by prefix

    def is_direct(self, prefix: str) -> bool:
        """Tell whether the store itself was asked last for a prefix."""
        return prefix in self._direct

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry below a prefix; see `KeyValue`."""
        relayed = await self._relayed(prefix, LIST, 0)
        if relayed is not None:
            return relayed
        return self._heed(prefix, await self._kv.list(prefix))

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        """Return the changes after a revision; see `KeyValue`."""
        relayed = await self._relayed(prefix, after, min(wait, RELAY_WAIT))
        if relayed is not None:
            return relayed
        return self._heed(prefix, await self._kv.watch(prefix, after, wait))

    async def _relayed(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault] | None:
        """Ask one source after the other; None if none answers."""
        self._direct.discard(prefix)
        is_cut = self._is_too_soon(prefix)
        sources = self._ring.sources(monotonic(), is_disconnected=is_cut)
        while sources:
            source = sources.pop(0)
            reply = await self._ask(source, prefix, after, wait)
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
            self._ring.on_fault(
                source,
                monotonic(),
                is_unresponsive=fault is not StoreFault.behind,
            )
        if self._ring.is_follower and is_cut:
            return Failure(StoreFault.behind)
        self._direct.add(prefix)
        return None

    def _is_too_soon(self, prefix: str) -> bool:
        return monotonic() < self._direct_from.get(prefix, float(0))

    def _heed(
        self,
        prefix: str,
        reply: Result[Batch, StoreFault],
    ) -> Result[Batch, StoreFault]:
        """Note whether the store answered; return its reply."""
        if isinstance(reply, Success):
            self._direct_from.pop(prefix, None)
        elif reply.failure() is not StoreFault.compacted:
            self._direct_from[prefix] = monotonic() + DIRECT_PAUSE
        return reply

    async def _ask(
        self,
        source: FleetMember,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait': wait},
            safe='/',
            quote_via=quote,
        )
        reply = await self._link(source).exchange(
            'GET',
            f'{RELAY_PATH}?{query}',
            b'',
            wait + RELAY_SLACK,
        )
        if not isinstance(reply, Success):
            return Failure(reply.failure())
        response = reply.unwrap()
        if response.status == 410:
            return Failure(StoreFault.compacted)
        if response.status != 200:
            return Failure(StoreFault.behind)
        batch = _decoder.decode(zlib.decompress(response.body))
        return Success(Batch(batch.revision, batch.entries, batch.age))

    def _link(self, source: FleetMember) -> StoreHttpClient:
        link = self._links.get(source.address)
        if link is None:
            link = StoreHttpClient(source.endpoint)
            self._links[source.address] = link
        return link
