"""A registered instance of the fleet."""

from typing import NamedTuple


class FleetMember(NamedTuple):
    """An instance of the fleet with the properties that it registers."""

    name: str
    zone: str
    address: str  # host:port at which other instances reach it
    link_mbps: float = 0  # bandwidth of its network link; 0: unknown
    cores: float = 0  # CPU speed in whole cores; 0: unknown

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return the host and port of the address."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)
