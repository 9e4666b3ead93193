"""A bound on how often something is done."""


class RateLimit:
    """A token bucket: `burst` at once, `per_second` over time."""

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._filled_at: float = 0

    def allows(self, now: float) -> bool:
        """Take a token; tell whether there was one."""
        gained = max(0, now - self._filled_at) * self._per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = max(now, self._filled_at)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
