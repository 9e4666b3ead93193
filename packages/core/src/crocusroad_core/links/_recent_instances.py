"""Instances that may hold connections to replicas."""

from collections.abc import Iterable
from typing import Final

HOLD_SECONDS: Final = 60.0


class RecentInstances:
    """Instances that were listed recently.

    An instance that leaves the list is counted for another `HOLD_SECONDS`,
    since it may still hold connections. One that joins is counted at once.
    """

    def __init__(self, own: str) -> None:
        self.names = frozenset((own,))  # including this instance
        # Incremented when the names change; 0 until a list is read.
        self.version = 0
        self._own = own
        self._listed_at: dict[str, float] = {}

    def on_list(self, names: Iterable[str], now: float) -> None:
        """Update the names from the platform's list of instances."""
        oldest = now - HOLD_SECONDS
        kept = {
            name: listed_at
            for name, listed_at in self._listed_at.items()
            if listed_at >= oldest
        }
        self._listed_at = kept | dict.fromkeys(names, now)
        counted = frozenset((*self._listed_at, self._own))
        if counted != self.names or not self.version:
            self.names = counted
            self.version += 1
