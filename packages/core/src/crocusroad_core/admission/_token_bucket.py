"""A token bucket."""

BURST_SECONDS = 1.0
MIN_BURST = 1.0  # tokens


class TokenBucket:
    """Admits `rate` requests a second, with bursts of one second's worth."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = self._burst
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; tokens above the new burst are dropped."""
        self._fill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._burst)

    def take(self, now: float) -> bool:
        """Take one token; return False if there is none."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait(self, now: float) -> float:
        """Return the seconds until the next token."""
        self._fill(now)
        missing = max(0, 1 - self._tokens)
        return missing / self._rate if self._rate > 0 else BURST_SECONDS

    @property
    def _burst(self) -> float:
        return max(MIN_BURST, self._rate * BURST_SECONDS)

    def _fill(self, now: float) -> None:
        passed = max(0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._tokens = min(self._burst, self._tokens + passed * self._rate)
