"""One instance of the fleet, as it registers itself."""

from typing import NamedTuple


class FleetMember(NamedTuple):
    """One instance of the fleet, as it registers itself."""

    name: str
    zone: str
    address: str  # host:port where the others ask it
    link_mbps: float = 0  # of its own link; 0: not known
    cores: float = 0  # it computes as fast as so many cores; 0: not known

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return host and port of the address."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)
