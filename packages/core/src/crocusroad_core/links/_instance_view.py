"""The instances that may hold connections."""

from collections.abc import Iterable, Set
from typing import Final

HOLD_SECONDS: Final = 60.0


class InstanceView:
    """Instances listed of late.

    One that leaves the list is counted for `HOLD_SECONDS` more, since it may
    still hold connections; one that joins is counted at once.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self.is_known = False  # True once the list was read
        self._seen: dict[str, float] = {}

    @property
    def names(self) -> Set[str]:
        """Return the names counted, this instance included."""
        return self._seen.keys() | {self._own}

    def on_list(self, names: Iterable[str], now: float) -> None:
        """Take the platform's list of instances."""
        oldest = now - HOLD_SECONDS
        kept = {name: at for name, at in self._seen.items() if at >= oldest}
        self._seen = kept | dict.fromkeys(names, now)
        self.is_known = True
