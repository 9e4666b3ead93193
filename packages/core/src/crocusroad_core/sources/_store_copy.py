"""A local copy of a key prefix of the store, served to followers."""

from collections.abc import Iterable
from typing import Final

from crocusroad_core.kv import Entry

# Deleted keys that are kept for followers. When there are more, they are
# dropped, and a follower that has not seen them lists the prefix again.
MAX_TOMBSTONES: Final = 4096


class StoreCopy:
    """The last change of each key below a prefix, up to a store revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.checked_at = float('-inf')  # seconds; last confirmed by the store
        self._compacted_revision = 0  # earlier changes can't be listed
        self._changes: dict[str, Entry] = {}
        self._tombstones = 0

    def live_entries(self) -> list[Entry]:
        """Return the keys that are not deleted."""
        return [
            entry for entry in self._changes.values() if entry.value is not None
        ]

    def changes_since(self, revision: int) -> list[Entry] | None:
        """Return the changes after a revision; None: they were compacted."""
        if revision < self._compacted_revision:
            return None
        return [
            entry
            for entry in self._changes.values()
            if entry.revision > revision
        ]

    def replace(
        self,
        entries: Iterable[Entry],
        revision: int,
        now: float,
    ) -> None:
        """Replace the copy with a complete listing."""
        self._changes = {entry.key: entry for entry in entries}
        self._tombstones = 0
        self._compacted_revision = revision
        self.revision = revision
        self.checked_at = now

    def apply(
        self,
        entries: Iterable[Entry],
        revision: int,
        now: float,
    ) -> None:
        """Apply the changes up to a revision."""
        for entry in entries:
            # Removed first, so that the keys stay in the order of changes.
            former = self._changes.pop(entry.key, None)
            if former is not None and former.value is None:
                self._tombstones -= 1
            self._changes[entry.key] = entry
            self._tombstones += entry.value is None
        self.revision = max(self.revision, revision)
        self.checked_at = now
        if self._tombstones > MAX_TOMBSTONES:
            self._drop_tombstones()

    def _drop_tombstones(self) -> None:
        self._changes = {entry.key: entry for entry in self.live_entries()}
        self._tombstones = 0
        self._compacted_revision = self.revision
