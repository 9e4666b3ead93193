"""The adaptive limit of requests in progress on one instance."""

from crocusroad_core.admission._quantile import Quantile

INITIAL = 32.0
LOWEST = 4.0
HIGHEST = 4096.0
TOLERANCE = 1.5  # median latency over its floor that counts as no queue
STEEPEST = 0.5  # least share of the limit that one sample can ask for
SMOOTHING = 0.2  # share of the way to the wanted limit, for one round
BACK_OFF = 0.92
LAG_BOUND_SECONDS = 0.05
LAG_PAUSE_SECONDS = 0.25
FLOOR_WINDOW_SECONDS = 30.0
UNSURE_SAMPLES = 50  # of a kind, before its median is believed
LEAST_SECONDS = 1e-6
USED_SHARE = 0.5  # the limit grows only while this share of it is in use


class _Kind:
    """The median latency of one request kind and its lately lowest value."""

    def __init__(self, now: float) -> None:
        self._median = Quantile(0.5)
        self._floors = (float('inf'), float('inf'))
        self._turned_at = now
        self._unsure = UNSURE_SAMPLES

    def ratio(self, seconds: float, now: float) -> float:
        """Take a latency; return the median over its floor."""
        median = self._median.observe(seconds)
        if self._unsure > 0:
            self._unsure -= 1
            return 1
        old, new = self._floors
        if now - self._turned_at > FLOOR_WINDOW_SECONDS:
            self._turned_at = now
            old, new = new, median
        self._floors = (old, min(new, median))
        return median / min(self._floors)


class ConcurrencyLimit:
    """Follows the gradient of latency: floor of the median over the median.

    Latency is compared with the floor of its own kind, so that kinds of
    different length can share the limit. The lag of the event loop counts as
    a queue too: then the instance itself is the bottleneck.
    """

    def __init__(self) -> None:
        self._limit = INITIAL
        self._kinds: dict[str, _Kind] = {}
        self._shrunk_at = float('-inf')

    @property
    def limit(self) -> float:
        """Return the requests that may be in progress."""
        return self._limit

    def on_answer(
        self,
        kind: str,
        seconds: float,
        in_flight: int,
        now: float,
    ) -> None:
        """Take the latency of an ended request."""
        known = self._kinds.setdefault(kind, _Kind(now))
        gradient = TOLERANCE / known.ratio(max(seconds, LEAST_SECONDS), now)
        is_used = in_flight >= self._limit * USED_SHARE
        if gradient < 1 or is_used:
            self._move(max(STEEPEST, min(1.0, gradient)))

    def on_lag(self, seconds: float, now: float) -> None:
        """Take a measured lag of the event loop."""
        is_late = seconds > LAG_BOUND_SECONDS
        if is_late and now - self._shrunk_at >= LAG_PAUSE_SECONDS:
            self._shrunk_at = now
            self._limit = max(LOWEST, self._limit * BACK_OFF)

    def _move(self, gradient: float) -> None:
        wanted = self._limit * gradient + self._limit**0.5
        step = (wanted - self._limit) * SMOOTHING / self._limit
        self._limit = max(LOWEST, min(HIGHEST, self._limit + step))
