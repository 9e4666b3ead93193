"""The instances of the fleet: this one's entry, and how many there are."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

from returns.result import Result, Success

from crocusroad_node.kv import Batch, KeyValue, StoreFault
from crocusroad_node.logs import note

_logger = logging.getLogger(__name__)

# An entry outlives two renewals that fail, in seconds.
LEASE_SECONDS: Final = 12.0
RENEW_SECONDS: Final = 4.0
# After a fault the next try comes sooner.
RETRY_SECONDS: Final = 1.0


class FleetKeyValue(KeyValue, Protocol):
    """A store that also lists cheaply."""

    async def list_stale(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return a listing that may be seconds old."""

    async def release(self, lease: str) -> Result[None, StoreFault]:
        """End a lease; its keys are removed."""


class Fleet:
    """Keeps this instance's entry alive and counts the others."""

    def __init__(
        self,
        kv: FleetKeyValue,
        prefix: str,
        instance: str,
        on_count: Callable[[int], None],
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._key = f'{prefix}{instance}'
        self._instance = instance
        self._on_count = on_count
        self._lease = ''
        self._count = 0

    async def run(self) -> None:
        """Renew and count for ever."""
        while True:
            is_fine = await self._renew() and await self._recount()
            await asyncio.sleep(RENEW_SECONDS if is_fine else RETRY_SECONDS)

    async def leave(self) -> None:
        """Take the entry away."""
        if self._lease:
            await self._kv.release(self._lease)

    async def _renew(self) -> bool:
        if self._lease:
            renewed = await self._kv.renew(self._lease)
            if isinstance(renewed, Success):
                return True
            if renewed.failure() is not StoreFault.lease_gone:
                return False
        return await self._enter()

    async def _enter(self) -> bool:
        granted = await self._kv.grant(LEASE_SECONDS)
        if not isinstance(granted, Success):
            return False
        lease = granted.unwrap()
        entry = await self._kv.read(self._key)
        if not isinstance(entry, Success):
            return False
        known = entry.unwrap()
        expected = 0 if known is None else known.revision
        written = await self._kv.swap(
            self._key, self._instance, expected, lease
        )
        if not isinstance(written, Success):
            return False
        self._lease = lease
        return True

    async def _recount(self) -> bool:
        listed = await self._kv.list_stale(self._prefix)
        if not isinstance(listed, Success):
            return False
        count = max(1, len(listed.unwrap().entries))
        if count != self._count:
            note(_logger, 'instances', count=count, former=self._count)
            self._count = count
        self._on_count(count)
        return True
