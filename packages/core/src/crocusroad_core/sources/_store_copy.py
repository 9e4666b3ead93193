"""A copy of the keys below a prefix, for others to follow."""

from collections.abc import Iterable
from typing import Final

from crocusroad_core.kv import Entry

# Removals that are remembered for followers; older ones make them list anew.
MAX_REMOVALS: Final = 4096


class StoreCopy:
    """The keys below a prefix up to a revision of the store."""

    def __init__(self) -> None:
        self.revision = 0
        self.checked_at = float('-inf')  # seconds; when the store last said so
        self._floor = 0  # changes up to here are not told one by one
        self._changes: dict[str, Entry] = {}
        self._removals = 0

    def live_entries(self) -> list[Entry]:
        """Return the keys that are there."""
        return [one for one in self._changes.values() if one.value is not None]

    def changes_since(self, revision: int) -> list[Entry] | None:
        """Return the changes after a revision; None: it is too old."""
        if revision < self._floor:
            return None
        return [
            one for one in self._changes.values() if one.revision > revision
        ]

    def replace(
        self,
        entries: Iterable[Entry],
        revision: int,
        now: float,
    ) -> None:
        """Take a whole listing."""
        self._changes = {one.key: one for one in entries}
        self._removals = 0
        self._floor = revision
        self.revision = revision
        self.checked_at = now

    def apply(
        self,
        entries: Iterable[Entry],
        revision: int,
        now: float,
    ) -> None:
        """Take what changed up to a revision."""
        for entry in entries:
            # Taken out first, so that the order is that of the changes.
            former = self._changes.pop(entry.key, None)
            if former is not None and former.value is None:
                self._removals -= 1
            self._changes[entry.key] = entry
            self._removals += entry.value is None
        self.revision = max(self.revision, revision)
        self.checked_at = now
        if self._removals > MAX_REMOVALS:
            self._forget_removals()

    def _forget_removals(self) -> None:
        self._changes = {one.key: one for one in self.live_entries()}
        self._removals = 0
        self._floor = self.revision
