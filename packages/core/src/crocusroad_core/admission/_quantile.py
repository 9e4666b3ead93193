"""Learned quantiles of a stream of durations."""

FAST_STEP = 0.1  # relative change for one sample
FINE_STEP = 0.03
GRACE_SECONDS = 2.0  # without samples, before an estimate fades
HALF_LIFE_SECONDS = 5.0


class Quantile:
    """An estimate of one quantile of a stream of durations."""

    def __init__(self, quantile: float, step: float = FINE_STEP) -> None:
        self._up = 1 + step * quantile
        self._down = 1 - step * (1 - quantile)
        self.seconds: float = 0

    def observe(self, seconds: float) -> float:
        """Take a sample; return the estimate in seconds."""
        if self.seconds <= 0:
            self.seconds = seconds
        else:
            self.seconds *= self._up if seconds > self.seconds else self._down
        return self.seconds


class DecayingQuantile:
    """A learned quantile that halves every 5 s once nothing is seen any more.

    A decision made on a stale estimate so ends by itself, and new samples
    come in.
    """

    def __init__(self, quantile: float) -> None:
        self._estimate = Quantile(quantile, FAST_STEP)
        self._seen_at: float = 0

    def observe(self, seconds: float, now: float) -> None:
        """Take a sample."""
        self._estimate.seconds = self.value(now)
        self._estimate.observe(seconds)
        self._seen_at = now

    def value(self, now: float) -> float:
        """Return the estimate in seconds; 0 if nothing is known."""
        idle = max(0, now - self._seen_at - GRACE_SECONDS)
        fade: float = 0.5 ** (idle / HALF_LIFE_SECONDS)
        return self._estimate.seconds * fade
