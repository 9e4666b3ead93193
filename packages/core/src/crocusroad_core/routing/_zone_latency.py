"""Mean latency of each availability zone."""

from typing import Final

LOCAL_LATENCY_SECONDS: Final = 0.005
ZONE_ROUND_TRIP_SECONDS: Final = 0.008  # between two zones
SAMPLE_WEIGHT: Final = 0.02


class ZoneLatency:
    """Mean latency of a zone, used for replicas not measured yet."""

    __slots__ = ('expected',)

    def __init__(self, expected: float) -> None:
        self.expected = expected  # seconds

    def record(self, latency: float) -> None:
        """Record the latency of an answer from the zone, in seconds."""
        self.expected += SAMPLE_WEIGHT * (latency - self.expected)


class ZoneLatencies:
    """Latencies of the availability zones by name."""

    def __init__(self, own: str) -> None:
        self._zones = {own: ZoneLatency(LOCAL_LATENCY_SECONDS)}

    def find(self, name: str) -> ZoneLatency:
        """Return the latency of a zone.

        A zone without measurements is assumed to be remote.
        """
        zone = self._zones.get(name)
        if zone is None:
            zone = ZoneLatency(LOCAL_LATENCY_SECONDS + ZONE_ROUND_TRIP_SECONDS)
            self._zones[name] = zone
        return zone
