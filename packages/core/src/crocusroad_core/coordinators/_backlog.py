"""The estimated work that a coordinator has accepted and not finished.

When many fan-outs arrive at once, a coordinator accepts only as many as it
can finish sooner than the instances that delegate them.
"""

from typing import Final

# A coordinator accepts a delegated fan-out only behind this much work.
MAX_BACKLOG_SECONDS: Final = 0.06


class Backlog:
    """The accepted work, in seconds, which is done one job after another."""

    def __init__(self) -> None:
        self._seconds: float = 0
        self._updated_at: float = 0

    def has_capacity(self, now: float) -> bool:
        """Tell whether work of other instances may be accepted."""
        return self._remaining(now) <= MAX_BACKLOG_SECONDS

    def add(self, seconds: float, now: float) -> None:
        """Add the estimated duration of an accepted job."""
        self._seconds = self._remaining(now) + seconds
        self._updated_at = now

    def _remaining(self, now: float) -> float:
        return max(0, self._seconds - max(0, now - self._updated_at))
