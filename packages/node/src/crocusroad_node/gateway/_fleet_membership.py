"""Registration of this instance in the fleet, and the list of its members."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final, Protocol

import msgspec
from returns.result import Result, Success

from crocusroad_core.links import parse_address
from crocusroad_core.sources import FleetMember
from crocusroad_node.kv import (
    Batch,
    Entry,
    KeyValue,
    LeasedEntry,
    StoreFault,
)
from crocusroad_node.logs import log_event
from crocusroad_wire import decode_json

_logger = logging.getLogger(__name__)

# The lease survives two renewals that fail.
LEASE_SECONDS: Final = 18.0
RENEW_SECONDS: Final = 6.0
# Interval after a fault, and after a start until the members stay the same:
# instances that start together each see only a few of the others at first.
RETRY_SECONDS: Final = 1.0
# Least interval between two listings for each member. A listing grows with the
# fleet; an entry has about 160 bytes, so an instance reads 2 KB a second.
LISTING_SECONDS_PER_MEMBER: Final = 0.08


class _InstanceEntry(msgspec.Struct):
    """The registered value of an instance; see `FleetMember`."""

    zone: str
    address: str  # host:port at which other instances reach it
    link_mbps: float = 0
    cores: float = 0


class FleetKeyValue(KeyValue, Protocol):
    """A store with calls that only the fleet membership needs."""

    async def list_stale(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return a listing that is cheap but may be seconds old."""

    async def read_stale(
        self, key: str
    ) -> Result[LeasedEntry | None, StoreFault]:
        """Return an entry cheaply; it may be seconds old."""

    async def release(self, lease: str) -> Result[None, StoreFault]:
        """End a lease; its keys are removed."""


class FleetMembership:
    """Keeps this instance registered under a lease and lists the members.

    `on_members` is called with every listing.
    """

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
        self._granted = ''  # the lease of the last entry that was written
        self._is_leaving = False
        self._renewal = asyncio.Lock()
        self._count = 0
        self._has_settled = False
        self._loop = asyncio.get_running_loop()
        self._listed_at = float('-inf')

    async def run(self) -> None:
        """Renew the lease and list the members until `deregister`."""
        # The other members are the sources of what this instance reads, so
        # they are listed before it registers, even if it never can.
        await self._list_members()
        while not self._is_leaving:
            is_renewed = await self._renew()
            if is_renewed or not self._count:
                await self._list_if_due()
            is_stable = is_renewed and self._has_settled
            await asyncio.sleep(RENEW_SECONDS if is_stable else RETRY_SECONDS)

    async def deregister(self) -> None:
        """Remove the entry of this instance for good by ending its lease.

        Waits for a renewal that is under way.
        """
        self._is_leaving = True
        async with self._renewal:
            leases = {self._lease, self._granted} - {''}
            await asyncio.gather(*map(self._kv.release, leases))

    async def _renew(self) -> bool:
        async with self._renewal:
            if self._is_leaving:
                return False
            if self._lease:
                renewed = await self._kv.renew(self._lease)
                if isinstance(renewed, Success):
                    return True
                if renewed.failure() is not StoreFault.lease_gone:
                    return False
                self._lease = ''
            return not self._is_leaving and await self._register()

    async def _register(self) -> bool:
        """Register under the lease of an earlier run or under a new one."""
        value = _InstanceEntry(*self._own[1:])
        text = msgspec.json.encode(value).decode()
        held = (await self._kv.read_stale(self._key)).value_or(None)
        if held is not None and held.lease and held.entry.value == text:
            renewed = await self._kv.renew(held.lease)
            if isinstance(renewed, Success):
                self._lease = held.lease
                return True
        revision = 0 if held is None else held.entry.revision
        return await self._write_entry(text, revision)

    async def _write_entry(self, text: str, revision: int) -> bool:
        """Write the entry of this instance, last seen at a revision."""
        granted = await self._kv.grant(LEASE_SECONDS)
        if not isinstance(granted, Success):
            return False
        # The store may write the entry though its answer is lost.
        lease = granted.unwrap()
        self._granted = lease
        written = await self._kv.swap(self._key, text, revision, lease)
        if not isinstance(written, Success):
            # What was seen may have been out of date.
            entry = await self._kv.read(self._key)
            if not isinstance(entry, Success):
                return False
            known = entry.unwrap()
            revision = 0 if known is None else known.revision
            written = await self._kv.swap(self._key, text, revision, lease)
        if not isinstance(written, Success):
            return False
        self._lease = lease
        return True

    async def _list_if_due(self) -> None:
        interval = LISTING_SECONDS_PER_MEMBER * self._count
        elapsed = self._loop.time() - self._listed_at
        if not self._has_settled or elapsed >= interval:
            await self._list_members()

    async def _list_members(self) -> None:
        """List the members; settle once the list is complete and stable."""
        listed = await self._kv.list_stale(self._prefix)
        if not isinstance(listed, Success):
            return
        self._listed_at = self._loop.time()
        decoded = (
            decode_member(self._prefix, entry)
            for entry in listed.unwrap().entries
        )
        members = [member for member in decoded if member is not None]
        is_unchanged = len(members) == self._count
        if not is_unchanged:
            log_event(
                _logger,
                'instances',
                count=len(members),
                former=self._count,
            )
            self._count = len(members)
        self._on_members(members)
        # A stale listing may be older than this instance's own entry.
        names = {member.name for member in members}
        self._has_settled |= is_unchanged and self._own.name in names


def decode_member(prefix: str, entry: Entry) -> FleetMember | None:
    """Return the member that an entry registers; None if it can't be used."""
    try:
        value = decode_json(_InstanceEntry, entry.value or '')
        parse_address(value.address)
    except ValueError as exc:
        log_event(
            _logger,
            'instance not understood',
            key=entry.key,
            error=exc,
        )
        return None
    name = entry.key.removeprefix(prefix)
    return FleetMember(name, *msgspec.structs.astuple(value))
