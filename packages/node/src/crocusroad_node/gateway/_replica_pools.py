"""The pool of each replica's address, and this instance's part of it."""

from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_node.exchanges import ConnectionPool

# A handshake of some milliseconds, which holds a slot of the replica, and a
# round trip between zones, before a request can be sent.
OPENING_SECONDS: Final = 0.025
# What a replica in another zone has to be better by. Its latency shows the
# way already; this keeps traffic between zones, which costs more, for need.
CROSSING_SECONDS: Final = 0.01
# Instances taken to share a replica's connections until they are counted.
FIRST_COUNT: Final = 8


class ReplicaPools:
    """The pool of each replica's address.

    Instances share the connections that a replica accepts, and one part is
    left for an instance that is being replaced.
    """

    def __init__(self, id_header: bytes, zone: str) -> None:
        self._id_header = id_header
        self._zone = zone
        self._count = FIRST_COUNT
        self._fan_out_weight: float = 1
        self._pools: dict[str, ConnectionPool] = {}
        self._replicas: dict[str, Replica] = {}  # as last said, by address

    def on_instances(self, count: int, fan_out_weight: float) -> None:
        """Take how many instances there are, and this one's weight."""
        self._count = count
        self._fan_out_weight = fan_out_weight

    def reach_cost(self, replica: Replica) -> float:
        """Return what reaching a replica costs, in seconds of latency."""
        cost: float = 0
        if replica.zone != self._zone:
            cost += CROSSING_SECONDS
        pool = self._pools.get(replica.address)
        if pool is None or not pool.has_idle_connection:
            cost += OPENING_SECONDS
        return cost

    def pool(self, replica: Replica) -> ConnectionPool:
        """Return the pool of a replica's address."""
        self._replicas[replica.address] = replica
        pool = self._pools.get(replica.address)
        if pool is None:
            pool = self._build(replica)
            self._pools[replica.address] = pool
        return pool

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the pools of addresses that no replica has any more."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close()
            del self._replicas[address]

    def _build(self, replica: Replica) -> ConnectionPool:
        return ConnectionPool(
            (replica.host, replica.port),
            self._id_header,
            lambda: self._part(self._replicas[replica.address]),
        )

    def _part(self, replica: Replica) -> int:
        """Return how many connections this instance may open to a replica."""
        weight = self._fan_out_weight if replica.is_shard else 1
        return int(replica.connections * weight / (self._count + 1))
