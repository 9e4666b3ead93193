"""Latency of a shard as an exponentially decaying histogram."""

from math import log2
from typing import Final

MIN_LATENCY_SECONDS: Final = 0.0001  # lower bound of the first bucket
BUCKETS_PER_OCTAVE: Final = 4
BUCKETS: Final = 72
DECAY_SAMPLES: Final = 512  # between two halvings of the counts
REFRESH_SAMPLES: Final = 16  # between two computations of the quantiles
WARM_UP_SAMPLES: Final = 32
QUANTILE: Final = 0.95
LOW_BUDGET_QUANTILE: Final = 0.99  # while little extra load is allowed
INITIAL_DELAY_SECONDS: Final = 0.05
MIN_DELAY_SECONDS: Final = 0.005
MAX_DELAY_SECONDS: Final = 0.25


class LatencyHistogram:
    """Recent latencies in buckets whose widths grow by a constant factor.

    Counts are halved every `DECAY_SAMPLES` samples, so that old latencies
    lose weight. The hedge delays are recomputed every `REFRESH_SAMPLES`
    samples, once there are `WARM_UP_SAMPLES`.
    """

    __slots__ = ('_counts', '_delay', '_low_budget_delay', '_recorded')

    def __init__(self) -> None:
        self._counts = [float(0) for _ in range(BUCKETS)]
        self._recorded = 0
        self._delay = INITIAL_DELAY_SECONDS
        self._low_budget_delay = INITIAL_DELAY_SECONDS

    @property
    def hedge_delay(self) -> float:
        """Seconds after which an attempt is hedged."""
        return self._delay

    @property
    def low_budget_hedge_delay(self) -> float:
        """Seconds after which an attempt is hedged on a scarce budget."""
        return self._low_budget_delay

    def record(self, latency: float) -> None:
        """Record the latency of an answered attempt, in seconds."""
        bucket = 0
        if latency > MIN_LATENCY_SECONDS:
            bucket = int(
                log2(latency / MIN_LATENCY_SECONDS) * BUCKETS_PER_OCTAVE
            )
        self._counts[min(bucket, BUCKETS - 1)] += 1
        self._recorded += 1
        if self._recorded % REFRESH_SAMPLES == 0:
            self._refresh()

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket that contains a quantile."""
        remaining = sum(self._counts) * (1 - share)
        for bucket in range(BUCKETS - 1, -1, -1):
            remaining -= self._counts[bucket]
            if remaining < 0:
                return _upper_bound(bucket)
        return MIN_LATENCY_SECONDS

    def _refresh(self) -> None:
        if self._recorded % DECAY_SAMPLES == 0:
            self._counts = [count / 2 for count in self._counts]
        if self._recorded >= WARM_UP_SAMPLES:
            self._delay = _clamp(self.quantile(QUANTILE))
            self._low_budget_delay = _clamp(self.quantile(LOW_BUDGET_QUANTILE))


def _clamp(delay: float) -> float:
    return min(MAX_DELAY_SECONDS, max(MIN_DELAY_SECONDS, delay))


def _upper_bound(bucket: int) -> float:
    octaves = (bucket + 1) / BUCKETS_PER_OCTAVE
    return float(MIN_LATENCY_SECONDS * 2**octaves)
