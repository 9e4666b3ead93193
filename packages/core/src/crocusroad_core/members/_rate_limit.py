"""A rate limit."""


class RateLimit:
    """A token bucket that holds `burst` tokens and gains `per_second`."""

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at: float = 0

    def allows(self, now: float) -> bool:
        """Take a token and tell whether one was available."""
        gained = max(0, now - self._refilled_at) * self._per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
