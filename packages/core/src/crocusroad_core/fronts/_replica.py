"""A replica of a shard."""

from typing import NamedTuple


class Replica(NamedTuple):
    """One upstream process that serves a shard."""

    name: str
    address: str  # host:port
    zone: str
    slots: int  # requests it runs at once
    connections: int  # connections it accepts, over all instances
    is_shard: bool = False  # whether fan-outs go there

    @property
    def host(self) -> str:
        """Return the host part of the address."""
        return self.address.rpartition(':')[0]

    @property
    def port(self) -> int:
        """Return the port part of the address."""
        return int(self.address.rpartition(':')[2])
