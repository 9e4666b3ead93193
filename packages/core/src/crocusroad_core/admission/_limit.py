"""Adaptive concurrency limit of one instance."""

from crocusroad_core.admission._quantile import Quantile

INITIAL_LIMIT = 32.0  # requests in flight
MIN_LIMIT = 4.0
MAX_LIMIT = 4096.0
TOLERANCE = 1.5  # ratio of median latency to its floor that means no queue
MIN_GRADIENT = 0.5  # lower bound of the limit's change asked by one sample
SMOOTHING = 0.2  # share of the way to the target limit, per round of requests
LAG_BACKOFF = 0.92  # factor on the limit when the event loop lags
MAX_LAG_SECONDS = 0.05
BACKOFF_INTERVAL_SECONDS = 0.25
FLOOR_WINDOW_SECONDS = 30.0
WARMUP_SAMPLES = 50  # per kind; an early median drove the limit to MIN_LIMIT
MIN_SECONDS = 1e-6  # of a latency; its median is a divisor
MIN_UTILIZATION = 0.5  # the limit grows only while this share is in use


class _KindLatency:
    """The median latency of one request kind and its recent minimum.

    The minimum is kept over two windows of `FLOOR_WINDOW_SECONDS`, so that it
    follows a lasting change of the latency.
    """

    def __init__(self, now: float) -> None:
        self._median = Quantile(0.5)
        self._floors = (float('inf'), float('inf'))
        self._window_started_at = now
        self._warmup_remaining = WARMUP_SAMPLES

    def ratio(self, seconds: float, now: float) -> float:
        """Add a latency and return the ratio of the median to its floor."""
        median = self._median.observe(seconds)
        if self._warmup_remaining > 0:
            self._warmup_remaining -= 1
            return 1
        previous, current = self._floors
        if now - self._window_started_at > FLOOR_WINDOW_SECONDS:
            self._window_started_at = now
            previous, current = current, median
        self._floors = (previous, min(current, median))
        return median / min(self._floors)


class ConcurrencyLimit:
    """A concurrency limit that follows the gradient of latency.

    The gradient is the floor of the median latency divided by the median.
    Latency is compared with the floor of its own request kind, so that kinds
    of different duration can share the limit. The lag of the event loop also
    counts as queueing, because the instance itself is then the bottleneck.
    """

    def __init__(self) -> None:
        self._limit = INITIAL_LIMIT
        self._kinds: dict[str, _KindLatency] = {}
        self._reduced_at = float('-inf')

    @property
    def limit(self) -> float:
        """Return the number of requests that may be in flight."""
        return self._limit

    def on_answer(
        self,
        kind: str,
        seconds: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Adjust the limit to the latency of a completed request."""
        latency = self._kinds.setdefault(kind, _KindLatency(now))
        gradient = TOLERANCE / latency.ratio(max(seconds, MIN_SECONDS), now)
        is_utilized = in_flight >= self._limit * MIN_UTILIZATION
        if gradient < 1 or is_utilized:
            self._adjust(max(MIN_GRADIENT, min(1.0, gradient)))

    def on_lag(self, seconds: float, now: float) -> None:
        """Reduce the limit if the event loop lags too much."""
        is_lagging = seconds > MAX_LAG_SECONDS
        if is_lagging and now - self._reduced_at >= BACKOFF_INTERVAL_SECONDS:
            self._reduced_at = now
            self._limit = max(MIN_LIMIT, self._limit * LAG_BACKOFF)

    def _adjust(self, gradient: float) -> None:
        target = self._limit * gradient + self._limit**0.5
        step = (target - self._limit) * SMOOTHING / self._limit
        self._limit = max(MIN_LIMIT, min(MAX_LIMIT, self._limit + step))
