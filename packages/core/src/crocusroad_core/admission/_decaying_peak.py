"""Recent peak of the requests in flight, used to reserve capacity."""

HALF_LIFE_SECONDS = 10.0


class DecayingPeak:
    """The peak of the requests in flight, decaying exponentially.

    One peak covers the requests of one worth and above.
    """

    def __init__(self) -> None:
        self._peak: float = 0
        self._updated_at: float = 0

    def observe(self, in_flight: int, now: float) -> None:
        """Record a number of requests in flight.

        The number includes the arriving request, even if it is refused.
        """
        self._peak = max(self.peak(now), in_flight)
        self._updated_at = now

    def peak(self, now: float) -> float:
        """Return the decayed peak."""
        elapsed = max(0, now - self._updated_at)
        decay: float = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        return self._peak * decay
