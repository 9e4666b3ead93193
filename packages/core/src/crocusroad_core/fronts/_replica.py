"""A replica of a shard."""

from typing import NamedTuple


class Replica(NamedTuple):
    """An upstream process that serves one shard."""

    name: str
    address: str  # host:port
    zone: str
    slots: int  # requests that it runs concurrently
    connections: int  # that it accepts, over all instances
    is_shard: bool = False  # whether its service receives fan-out sub-requests

    @property
    def host(self) -> str:
        """Return the host part of the address."""
        return self.address.rpartition(':')[0]

    @property
    def port(self) -> int:
        """Return the port part of the address."""
        return int(self.address.rpartition(':')[2])
