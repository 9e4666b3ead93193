"""The pool of each replica's address, and this instance's part of it."""

from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_node.exchanges import LinkPool

# A handshake, and a round trip between zones, before a request can be sent.
OPENING_SECONDS: Final = 0.012
# Instances taken to share a replica's connections until they are counted.
FIRST_COUNT: Final = 8


class Pools:
    """The pool of each replica's address.

    Instances share the connections that a replica accepts evenly, and one
    part is left for an instance that is being replaced.
    """

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._count = FIRST_COUNT
        self._pools: dict[str, LinkPool] = {}

    def on_instances(self, count: int) -> None:
        """Take the number of instances."""
        self._count = count

    def opening_cost(self, replica: Replica) -> float:
        """Return the seconds that a request waits for a connection."""
        pool = self._pools.get(replica.address)
        is_at_hand = pool is not None and pool.has_rested
        return 0 if is_at_hand else OPENING_SECONDS

    def pool(self, replica: Replica) -> LinkPool:
        """Return the pool of a replica's address."""
        pool = self._pools.get(replica.address)
        if pool is None:
            pool = self._build(replica)
            self._pools[replica.address] = pool
        return pool

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the pools of addresses that no replica has any more."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close()

    def _build(self, replica: Replica) -> LinkPool:
        limit = replica.connections
        return LinkPool(
            (replica.host, replica.port),
            self._id_header,
            lambda: limit // (self._count + 1),
        )
