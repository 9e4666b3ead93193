"""The latency of a shard as a decaying histogram."""

from math import log2
from typing import Final

UNIT_SECONDS: Final = 0.0001
STEPS_PER_OCTAVE: Final = 4
BUCKETS: Final = 72
HALVE_EVERY: Final = 512  # samples
REFRESH_EVERY: Final = 16  # samples
WARM_SAMPLES: Final = 32
QUANTILE: Final = 0.95
SCARCE_QUANTILE: Final = 0.99  # while little extra load is allowed
FIRST_DELAY_SECONDS: Final = 0.05
LEAST_DELAY_SECONDS: Final = 0.005
MOST_DELAY_SECONDS: Final = 0.25


class LatencyHistogram:
    """Latencies of late, in buckets that widen by a constant factor.

    Counts are halved every `HALVE_EVERY` samples, so that old latencies
    fade. The quantile is worked out anew every `REFRESH_EVERY` samples.
    """

    __slots__ = ('_counts', '_delay', '_scarce_delay', '_seen')

    def __init__(self) -> None:
        self._counts = [float(0) for _ in range(BUCKETS)]
        self._seen = 0
        self._delay = FIRST_DELAY_SECONDS
        self._scarce_delay = FIRST_DELAY_SECONDS

    @property
    def hedge_delay(self) -> float:
        """Return the seconds after which an attempt counts as slow."""
        return self._delay

    @property
    def low_budget_hedge_delay(self) -> float:
        """Return the seconds after which one counts as very slow."""
        return self._scarce_delay

    def record(self, latency: float) -> None:
        """Take the latency of an attempt that was answered, in seconds."""
        place = 0
        if latency > UNIT_SECONDS:
            place = int(log2(latency / UNIT_SECONDS) * STEPS_PER_OCTAVE)
        self._counts[min(place, BUCKETS - 1)] += 1
        self._seen += 1
        if self._seen % REFRESH_EVERY == 0:
            self._refresh()

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket that holds the quantile."""
        left = sum(self._counts) * (1 - share)
        for place in range(BUCKETS - 1, -1, -1):
            left -= self._counts[place]
            if left < 0:
                return _upper_bound(place)
        return UNIT_SECONDS

    def _refresh(self) -> None:
        if self._seen % HALVE_EVERY == 0:
            self._counts = [count / 2 for count in self._counts]
        if self._seen >= WARM_SAMPLES:
            self._delay = _bounded(self.quantile(QUANTILE))
            self._scarce_delay = _bounded(self.quantile(SCARCE_QUANTILE))


def _bounded(delay: float) -> float:
    return min(MOST_DELAY_SECONDS, max(LEAST_DELAY_SECONDS, delay))


def _upper_bound(place: int) -> float:
    octaves = (place + 1) / STEPS_PER_OCTAVE
    return float(UNIT_SECONDS * 2**octaves)
