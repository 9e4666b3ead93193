"""The latency of each availability zone."""

from typing import Final

NEAR_SECONDS: Final = 0.005
FAR_SECONDS: Final = 0.008  # there and back between two zones
MEAN_WEIGHT: Final = 0.02


class Zone:
    """The mean latency of a zone: what a replica not yet known will take."""

    __slots__ = ('expected',)

    def __init__(self, expected: float) -> None:
        self.expected = expected  # seconds

    def record(self, latency: float) -> None:
        """Take the latency of an answer from the zone, in seconds."""
        self.expected += MEAN_WEIGHT * (latency - self.expected)


class Zones:
    """The availability zones by name."""

    def __init__(self, own: str) -> None:
        self._zones = {own: Zone(NEAR_SECONDS)}

    def find(self, name: str) -> Zone:
        """Return a zone; one never seen is taken to be far."""
        zone = self._zones.get(name)
        if zone is None:
            zone = Zone(NEAR_SECONDS + FAR_SECONDS)
            self._zones[name] = zone
        return zone
