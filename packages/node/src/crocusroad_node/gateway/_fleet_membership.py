"""The instances of the fleet: this one's entry, and how many there are."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

import msgspec
from returns.result import Result, Success

from crocusroad_core.sources import FleetMember
from crocusroad_node.kv import Batch, Entry, KeyValue, StoreFault
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)

# An entry outlives two renewals that fail, in seconds.
LEASE_SECONDS: Final = 18.0
RENEW_SECONDS: Final = 6.0
# After a fault the next try comes sooner; so it does while instances come and
# go, which is when they start together and each sees only a few others.
RETRY_SECONDS: Final = 1.0


class _Home(msgspec.Struct):
    zone: str
    address: str  # host:port where the others ask it
    link_mbps: float = 0
    cores: float = 0


class FleetKeyValue(KeyValue, Protocol):
    """A store that also lists cheaply."""

    async def list_stale(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return a listing that may be seconds old."""

    async def release(self, lease: str) -> Result[None, StoreFault]:
        """End a lease; its keys are removed."""


class FleetMembership:
    """Keeps this instance's entry alive and counts the others."""

    def __init__(
        self,
        kv: FleetKeyValue,
        prefix: str,
        own: FleetMember,
        on_members: Callable[[list[FleetMember]], None],
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._key = f'{prefix}{own.name}'
        self._own = own
        self._on_members = on_members
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
        home = _Home(*self._own[1:])
        text = msgspec.json.encode(home).decode()
        written = await self._kv.swap(self._key, text, 0, lease)
        if not isinstance(written, Success):
            # The entry of an earlier start may still be there.
            entry = await self._kv.read(self._key)
            known = entry.value_or(None)
            if known is None:
                return False
            revision = known.revision
            written = await self._kv.swap(self._key, text, revision, lease)
        if not isinstance(written, Success):
            return False
        self._lease = lease
        return True

    async def _recount(self) -> bool:
        listed = await self._kv.list_stale(self._prefix)
        if not isinstance(listed, Success):
            return False
        found = (self._member(one) for one in listed.unwrap().entries)
        members = [one for one in found if one is not None]
        is_settled = len(members) == self._count
        if not is_settled:
            log_event(
                _logger,
                'instances',
                count=len(members),
                former=self._count,
            )
            self._count = len(members)
        self._on_members(members)
        # A cheap listing may be older than this instance's own entry.
        names = {one.name for one in members}
        return is_settled and self._own.name in names

    def _member(self, entry: Entry) -> FleetMember | None:
        name = entry.key.removeprefix(self._prefix)
        try:
            home = msgspec.json.decode(entry.value or '', type=_Home)
        except msgspec.DecodeError as exc:
            log_event(
                _logger, 'instance not understood', key=entry.key, error=exc
            )
            return None
        return FleetMember(name, *msgspec.structs.astuple(home))
