"""Protocols of the KV that the node uses."""

from typing import Protocol

from returns.result import Result

from crocusroad_node.kv._batch import Batch, Entry
from crocusroad_node.kv._fault import StoreFault


class WatchSource(Protocol):
    """A source of entries and changes: the KV or an instance that relays it."""

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry below a prefix and the store's revision."""

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        """Return the changes after a revision.

        If there are none, wait up to `wait` seconds for one.
        """


class KeyValue(WatchSource, Protocol):
    """The platform's key-value service.

    Each method is one call to the service. Revisions belong to the
    whole store and only increase.
    """

    async def read(self, key: str) -> Result[Entry | None, StoreFault]:
        """Return an entry, or None if the key does not exist."""

    async def swap(
        self,
        key: str,
        value: str | None,
        expected: int,
        lease: str = '',
    ) -> Result[int, StoreFault]:
        """Write a key if its revision is `expected`; 0 means it is absent.

        A value of None deletes the key. Returns the revision of the write.
        """

    async def grant(self, ttl: float) -> Result[str, StoreFault]:
        """Return the ID of a new lease that expires after `ttl` seconds."""

    async def renew(self, lease: str) -> Result[None, StoreFault]:
        """Restart the time to live of a lease."""
