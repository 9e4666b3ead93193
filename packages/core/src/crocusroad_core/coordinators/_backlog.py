"""Work that an instance has accepted and not done yet.

Answers the load of many fan-outs at once, of which a coordinator accepts only
as many as it reads sooner than those who give them would themselves.
"""

from typing import Final

# Seconds of work ahead of a fan-out that is accepted from another instance.
MOST_SECONDS: Final = 0.06


class Backlog:
    """Seconds of work that are accepted, done one after the other."""

    def __init__(self) -> None:
        self._seconds: float = 0
        self._at: float = 0

    def has_capacity(self, now: float) -> bool:
        """Tell whether work of other instances may be accepted."""
        return self._left(now) <= MOST_SECONDS

    def add(self, seconds: float, now: float) -> None:
        """Take work."""
        self._seconds = self._left(now) + seconds
        self._at = now

    def _left(self, now: float) -> float:
        return max(0, self._seconds - max(0, now - self._at))
