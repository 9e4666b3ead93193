"""Watches of key prefixes of the store."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from returns.result import Result, Success

from crocusroad_node.counters import STORE_CALLS
from crocusroad_node.gateway._relay_server import RelayServer
from crocusroad_node.kv import Batch, Entry, StoreFault, WatchSource
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

# Longest wait of a watch. It is short so that a dead connection is noticed
# well within the time in which a configuration has to be applied.
WATCH_SECONDS: Final = 1.0
# Bounds of the exponential backoff after a fault of the store.
MIN_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.8


def _no_delay() -> float:
    return 0


def _ignore_reachability(is_reachable: bool) -> None:
    """Ignore whether the store is reachable."""


class WatchHandlers(NamedTuple):
    """Callbacks for what is learned about the keys below a prefix."""

    on_listing: Callable[[Mapping[str, Entry]], None]
    on_changes: Callable[[list[Entry]], None]
    # Gets whether the store is reachable, after each change of it.
    on_reachability: Callable[[bool], None] = _ignore_reachability


class PrefixWatcher:
    """Lists and watches the keys below a prefix, with retries after faults.

    Each batch also goes to the relay server, which passes it on to other
    instances. `batch_delay` returns the seconds to wait between two watches,
    so that changes arrive in batches.
    """

    def __init__(
        self,
        kv: WatchSource,
        prefix: str,
        handlers: WatchHandlers,
        relay_server: RelayServer,
        batch_delay: Callable[[], float] = _no_delay,
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._handlers = handlers
        self._batch_delay = batch_delay
        self._relay_server = relay_server
        self._max_revision = 0  # highest one seen
        self._revision: int | None = None  # None: the next call is a listing
        self._backoff = MIN_BACKOFF_SECONDS
        self._is_reachable = True

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        while True:
            fault = await self._poll()
            if fault is None:
                self._backoff = MIN_BACKOFF_SECONDS
                await asyncio.sleep(self._batch_delay())
            elif fault is not StoreFault.compacted:
                await asyncio.sleep(self._backoff)
                self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2)

    async def _poll(self) -> StoreFault | None:
        if self._revision is None:
            reply = await self._kv.list(self._prefix)
        else:
            reply = await self._kv.watch(
                self._prefix,
                self._revision,
                WATCH_SECONDS,
            )
        return self._handle_reply(reply)

    def _handle_reply(
        self,
        reply: Result[Batch, StoreFault],
    ) -> StoreFault | None:
        if not isinstance(reply, Success):
            fault = reply.failure()
            STORE_CALLS.labels(self._prefix, fault.value).inc()
            self._handle_fault(fault)
            return fault
        STORE_CALLS.labels(self._prefix, 'answered').inc()
        self._set_reachable(is_reachable=True, fault='')
        return self._handle_batch(reply.unwrap())

    def _handle_batch(self, batch: Batch) -> StoreFault | None:
        is_listing = self._revision is None
        if is_listing and batch.revision < self._max_revision:
            # The source is behind what was already applied here.
            return StoreFault.unavailable
        self._relay_server.apply(self._prefix, batch, is_listing=is_listing)
        if is_listing:
            self._handlers.on_listing(
                {entry.key: entry for entry in batch.entries},
            )
        elif batch.entries:
            self._handlers.on_changes(batch.entries)
        self._max_revision = max(self._max_revision, batch.revision)
        self._revision = self._max_revision
        return None

    def _handle_fault(self, fault: StoreFault) -> None:
        if fault is StoreFault.compacted:
            log_event(_logger, 'store history dropped', prefix=self._prefix)
            self._revision = None
            return
        self._relay_server.invalidate(self._prefix)
        self._set_reachable(is_reachable=False, fault=fault.value)

    def _set_reachable(self, *, is_reachable: bool, fault: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        event = 'store back' if is_reachable else 'store lost'
        log_event(
            _logger,
            event,
            prefix=self._prefix,
            fault=fault,
            revision=self._revision,
        )
        self._handlers.on_reachability(is_reachable)
