"""How much room the worthier request kinds have lately wanted."""

HALF_LIFE_SECONDS = 10.0


class DecayingPeak:
    """A decaying peak of the requests in flight at one worth and above."""

    def __init__(self) -> None:
        self._peak: float = 0
        self._seen_at: float = 0

    def observe(self, wanted: int, now: float) -> None:
        """Take the number in flight, a refused one included."""
        self._peak = max(self.peak(now), wanted)
        self._seen_at = now

    def peak(self, now: float) -> float:
        """Return the decayed peak."""
        idle = max(0, now - self._seen_at)
        fade: float = 0.5 ** (idle / HALF_LIFE_SECONDS)
        return self._peak * fade
