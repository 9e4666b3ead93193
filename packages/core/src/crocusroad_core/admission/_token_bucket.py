"""Rate limiting with a token bucket."""

BURST_SECONDS = 1.0
MIN_BURST = 1.0  # tokens


class TokenBucket:
    """A token bucket with a burst capacity of one second of its rate.

    The rate is in tokens per second. The bucket starts full and holds at
    least one token, so that rates below one per second are possible.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = self._capacity
        self._refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate and drop the tokens above the new capacity."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity)

    def take(self, now: float) -> bool:
        """Take one token; return False if none is available."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def seconds_until_token(self, now: float) -> float:
        """Return the seconds until the next token is available."""
        self._refill(now)
        missing = max(0, 1 - self._tokens)
        return missing / self._rate if self._rate > 0 else BURST_SECONDS

    @property
    def _capacity(self) -> float:
        return max(MIN_BURST, self._rate * BURST_SECONDS)

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(self._capacity, self._tokens + elapsed * self._rate)
