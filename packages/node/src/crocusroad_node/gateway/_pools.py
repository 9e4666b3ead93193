"""The pool of each replica's address, and this instance's part of it."""

from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.links import has_place
from crocusroad_core.sources import Member
from crocusroad_node.exchanges import LinkPool

# A handshake of some milliseconds, which holds a slot of the replica, and a
# round trip between zones, before a request can be sent.
OPENING_SECONDS: Final = 0.025
# What a replica in another zone has to be better by. Its latency shows the
# way already; this keeps traffic between zones, which costs more, for need.
CROSSING_SECONDS: Final = 0.01
# What a replica without room for this instance has to be better by: a
# connection beyond its limit is reset, and the request on it is lost. A
# replica that is paused keeps a request longer than this.
CROWDED_SECONDS: Final = 0.05
# Replicas whose places are remembered; many more than a fleet has at a time.
MOST_PLACES: Final = 8192
# Instances taken to share a replica's connections until they are counted.
FIRST_COUNT: Final = 8


class Pools:
    """The pool of each replica's address.

    Instances share the connections that a replica accepts evenly, and one
    part is left for an instance that is being replaced.
    """

    def __init__(self, id_header: bytes, own: Member) -> None:
        self._id_header = id_header
        self._own = own
        self._members: list[Member] = []
        self._pools: dict[str, LinkPool] = {}
        self._places: dict[str, bool] = {}  # by name of the replica

    def on_members(self, members: list[Member]) -> None:
        """Take the list of instances."""
        if members != self._members:
            self._members = members
            self._places.clear()

    def reach_cost(self, replica: Replica) -> float:
        """Return what reaching a replica costs, in seconds of latency."""
        cost: float = 0
        if replica.zone != self._own.zone:
            cost += CROSSING_SECONDS
        if not self._has_place(replica):
            cost += CROWDED_SECONDS
        pool = self._pools.get(replica.address)
        if pool is None or not pool.has_rested:
            cost += OPENING_SECONDS
        return cost

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
        if len(self._places) > MOST_PLACES:
            self._places.clear()

    def _build(self, replica: Replica) -> LinkPool:
        limit = replica.connections
        return LinkPool(
            (replica.host, replica.port),
            self._id_header,
            lambda: limit // (self._count + 1),
        )

    @property
    def _count(self) -> int:
        return len(self._members) or FIRST_COUNT

    def _has_place(self, replica: Replica) -> bool:
        if replica.connections > self._count:
            return True
        known = self._places.get(replica.name)
        if known is None:
            known = has_place(self._own, self._members, replica)
            self._places[replica.name] = known
        return known
