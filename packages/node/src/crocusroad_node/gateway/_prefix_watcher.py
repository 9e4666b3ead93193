"""Following the store: configuration and registrations."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from returns.result import Result, Success

from crocusroad_node.counters import STORE_CALLS
from crocusroad_node.gateway._relay_server import RelayServer
from crocusroad_node.kv import Batch, Entry, Followed, StoreFault
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

# A watch waits this long, in seconds: a connection that fell silent is
# noticed soon after, well within the time that a configuration may take.
WATCH_SECONDS: Final = 1.0
# Pauses before the store is asked again after a fault, in seconds.
LEAST_PAUSE: Final = 0.1
MOST_PAUSE: Final = 0.8


def _no_rest() -> float:
    return 0


def _ignore_reach(is_reached: bool) -> None:
    """Care nothing for the store being lost or back."""


class WatchHandlers(NamedTuple):
    """Functions that are told what is learned of the keys."""

    listing: Callable[[Mapping[str, Entry]], None]
    changes: Callable[[list[Entry]], None]
    reach: Callable[[bool], None] = _ignore_reach  # the store is reached


class PrefixWatcher:
    """Keeps up with the keys below a prefix, through faults of the store."""

    def __init__(
        self,
        kv: Followed,
        prefix: str,
        told: WatchHandlers,
        desk: RelayServer,
        rest: Callable[[], float] = _no_rest,
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._told = told
        self._rest = rest  # seconds between two watches, to gather changes
        self._desk = desk  # tells other instances
        self._highest = 0  # revision ever seen
        self._revision: int | None = None  # None: list anew
        self._pause = LEAST_PAUSE
        self._is_reached = True

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            fault = await self._step()
            if fault is None:
                self._pause = LEAST_PAUSE
                await asyncio.sleep(self._rest())
            elif fault is not StoreFault.compacted:
                await asyncio.sleep(self._pause)
                self._pause = min(MOST_PAUSE, self._pause * 2)

    async def _step(self) -> StoreFault | None:
        if self._revision is None:
            reply = await self._kv.list(self._prefix)
        else:
            reply = await self._kv.watch(
                self._prefix,
                self._revision,
                WATCH_SECONDS,
            )
        return self._take(reply)

    def _take(self, reply: Result[Batch, StoreFault]) -> StoreFault | None:
        if not isinstance(reply, Success):
            fault = reply.failure()
            STORE_CALLS.labels(self._prefix, fault.value).inc()
            self._take_fault(fault)
            return fault
        STORE_CALLS.labels(self._prefix, 'answered').inc()
        self._reach(is_reached=True, fault='')
        return self._take_batch(reply.unwrap())

    def _take_batch(self, batch: Batch) -> StoreFault | None:
        is_listing = self._revision is None
        if is_listing and batch.revision < self._highest:
            # A source that is behind what was seen is not gone back to.
            return StoreFault.unavailable
        self._desk.take(self._prefix, batch, is_listing=is_listing)
        if is_listing:
            self._told.listing({one.key: one for one in batch.entries})
        elif batch.entries:
            self._told.changes(batch.entries)
        self._highest = max(self._highest, batch.revision)
        self._revision = self._highest
        return None

    def _take_fault(self, fault: StoreFault) -> None:
        if fault is StoreFault.compacted:
            log_event(_logger, 'store history dropped', prefix=self._prefix)
            self._revision = None
            return
        self._desk.doubt(self._prefix)
        self._reach(is_reached=False, fault=fault.value)

    def _reach(self, *, is_reached: bool, fault: str) -> None:
        if is_reached == self._is_reached:
            return
        self._is_reached = is_reached
        event = 'store back' if is_reached else 'store lost'
        log_event(
            _logger,
            event,
            prefix=self._prefix,
            fault=fault,
            revision=self._revision,
        )
        self._told.reach(is_reached)
