"""What the node asks of the platform's KV."""

from typing import Protocol

from returns.result import Result

from crocusroad_node.kv._batch import Batch, Entry
from crocusroad_node.kv._fault import StoreFault


class WatchSource(Protocol):
    """What can be followed: the service, or whoever tells its news on."""

    async def list(self, prefix: str) -> Result[Batch, StoreFault]:
        """Return every entry below a prefix and the store's revision."""

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Batch, StoreFault]:
        """Return the changes after a revision; wait `wait` seconds for one."""


class KeyValue(WatchSource, Protocol):
    """The platform's key-value service.

    Each method is one call to the service. Revisions are those of the whole
    store and only rise.
    """

    async def read(self, key: str) -> Result[Entry | None, StoreFault]:
        """Return an entry, or None if there is none."""

    async def swap(
        self,
        key: str,
        value: str | None,
        expected: int,
        lease: str = '',
    ) -> Result[int, StoreFault]:
        """Write a key if its revision is `expected`; 0: if it is not there.

        A value of None deletes the key. Returns the revision of the write.
        """

    async def grant(self, ttl: float) -> Result[str, StoreFault]:
        """Return a new lease that lapses after `ttl` seconds."""

    async def renew(self, lease: str) -> Result[None, StoreFault]:
        """Let a lease run for its whole time again."""
