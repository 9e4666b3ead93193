"""Streaming estimates of latency quantiles."""

FAST_STEP = 0.1  # relative change of the estimate per sample
FINE_STEP = 0.03  # relative change of the estimate per sample
DECAY_DELAY_SECONDS = 2.0  # without samples, before an estimate decays
HALF_LIFE_SECONDS = 5.0


class Quantile:
    """A streaming estimate of one quantile of durations, in seconds.

    Each sample moves the estimate up or down by a relative step, weighted by
    the quantile, so that no samples have to be stored.
    """

    def __init__(self, quantile: float, step: float = FINE_STEP) -> None:
        self._up = 1 + step * quantile
        self._down = 1 - step * (1 - quantile)
        self.seconds: float = 0

    def observe(self, seconds: float) -> float:
        """Add a sample and return the new estimate."""
        if self.seconds <= 0:
            self.seconds = seconds
        else:
            self.seconds *= self._up if seconds > self.seconds else self._down
        return self.seconds


class DecayingQuantile:
    """A quantile estimate that decays exponentially without samples.

    The estimate halves every `HALF_LIFE_SECONDS`, starting
    `DECAY_DELAY_SECONDS` after the last sample. A decision based on a stale
    estimate, such as refusing all requests, is thereby reversed in time and
    new samples arrive.
    """

    def __init__(self, quantile: float) -> None:
        self._estimate = Quantile(quantile, FAST_STEP)
        self._sampled_at: float = 0

    def observe(self, seconds: float, now: float) -> None:
        """Add a sample."""
        self._estimate.seconds = self.value(now)
        self._estimate.observe(seconds)
        self._sampled_at = now

    def value(self, now: float) -> float:
        """Return the estimate in seconds, or 0 before the first sample."""
        idle = max(0, now - self._sampled_at - DECAY_DELAY_SECONDS)
        decay: float = 0.5 ** (idle / HALF_LIFE_SECONDS)
        return self._estimate.seconds * decay
