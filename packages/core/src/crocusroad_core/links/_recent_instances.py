"""The instances that may hold connections."""

from collections.abc import Iterable
from typing import Final

HOLD_SECONDS: Final = 60.0


class RecentInstances:
    """Instances listed of late.

    One that leaves the list is counted for `HOLD_SECONDS` more, since it may
    still hold connections; one that joins is counted at once.
    """

    def __init__(self, own: str) -> None:
        self.names = frozenset((own,))  # this instance included
        self.version = 0  # of the names; 0: the list was not read yet
        self._own = own
        self._seen: dict[str, float] = {}

    def on_list(self, names: Iterable[str], now: float) -> None:
        """Take the platform's list of instances."""
        oldest = now - HOLD_SECONDS
        kept = {name: at for name, at in self._seen.items() if at >= oldest}
        self._seen = kept | dict.fromkeys(names, now)
        counted = frozenset((*self._seen, self._own))
        if counted != self.names or not self.version:
            self.names = counted
            self.version += 1
