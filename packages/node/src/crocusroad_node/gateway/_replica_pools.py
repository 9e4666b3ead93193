"""Connection pools by replica address, with a limit for this instance."""

from collections.abc import Callable
from math import inf
from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.links import connection_share
from crocusroad_node.exchanges import ConnectionPool

# Cost of opening a connection before a request can be sent: a handshake of
# some milliseconds, which occupies a slot of the replica, and a round trip
# between zones.
CONNECT_COST_SECONDS: Final = 0.025
# Cost of a replica in another zone, in addition to its measured latency,
# which already includes the distance. Traffic between zones costs more, so it
# is used only if it is faster by more than this.
CROSS_ZONE_COST_SECONDS: Final = 0.01
# Instances assumed to share a replica's connections until they are counted.
INITIAL_INSTANCE_COUNT: Final = 8


class ReplicaPools:
    """Connection pools by replica address.

    The instances share the connections that a replica accepts.
    """

    def __init__(
        self, id_header: bytes, zone: str, clock: Callable[[], float]
    ) -> None:
        self._id_header = id_header
        self._zone = zone
        self._clock = clock
        self._started_at = clock()
        self._instance_count = INITIAL_INSTANCE_COUNT
        self._fan_out_weight: float = 1
        self._pools: dict[str, ConnectionPool] = {}
        self._replicas: dict[str, Replica] = {}  # latest one, by address
        self._answers_until = inf

    def set_instances(self, count: int, fan_out_weight: float) -> None:
        """Set the number of instances and the weight of this one."""
        self._instance_count = count
        self._fan_out_weight = fan_out_weight

    def limit_answers(self, until: float) -> None:
        """Refuse the requests that wait and can't be answered until then."""
        self._answers_until = until

    def reach_cost(self, replica: Replica) -> float:
        """Return the cost of reaching a replica, in seconds of latency."""
        cost: float = 0
        if replica.zone != self._zone:
            cost += CROSS_ZONE_COST_SECONDS
        pool = self._pools.get(replica.address)
        if pool is None or not pool.has_idle_connection:
            cost += CONNECT_COST_SECONDS
        return cost

    def pool(self, replica: Replica) -> ConnectionPool:
        """Return the pool of a replica's address; create it if needed."""
        self._replicas[replica.address] = replica
        pool = self._pools.get(replica.address)
        if pool is None:
            pool = self._build_pool(replica)
            self._pools[replica.address] = pool
        return pool

    def check_reachable(
        self, replica: Replica, on_checked: Callable[[bool], None]
    ) -> None:
        """Find out whether a replica still runs; see `ConnectionPool`.

        Nothing is reported about a replica that is gone.
        """
        pool = self._pools.get(replica.address)
        if pool is not None:
            pool.check_reachable(on_checked)

    def release(self, address: str) -> None:
        """Let the requests that wait for an address go elsewhere."""
        pool = self._pools.get(address)
        if pool is not None:
            pool.release_waiting()

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the pools of all addresses except the given ones."""
        for address in self._pools.keys() - addresses:
            self._pools.pop(address).close()
            del self._replicas[address]

    def _build_pool(self, replica: Replica) -> ConnectionPool:
        return ConnectionPool(
            (replica.host, replica.port),
            self._id_header,
            lambda: self._max_connections(self._replicas[replica.address]),
            refuses_hopeless=True,
            answers_until=lambda: self._answers_until,
        )

    def _max_connections(self, replica: Replica) -> int:
        """Return how many connections this instance may open to a replica."""
        return connection_share(
            replica.connections,
            self._instance_count,
            self._fan_out_weight if replica.is_shard else 1,
            self._clock() - self._started_at,
        )
