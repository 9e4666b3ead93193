"""Synchronization of a node's fronts with the KV."""

from typing import NamedTuple

from crocusroad_core.configs._change import Adoption, Change
from crocusroad_core.configs._registry import FrontRegistry


class AppliedChange(NamedTuple):
    """A change and its outcome."""

    change: Change
    adoption: Adoption


class FrontSynchronizer:
    """Applies lists and changes from the KV to a registry of fronts.

    A KV whose revision is lower than one seen before is a stale replica or a
    restored backup; its answers are rejected.
    """

    def __init__(self, registry: FrontRegistry) -> None:
        self._registry = registry
        self._cursor = 0

    @property
    def cursor(self) -> int:
        """Return the revision of the KV after which to watch."""
        return max(self._cursor, self._registry.position)

    def on_list(
        self,
        revision: int,
        changes: list[Change],
    ) -> list[AppliedChange] | None:
        """Apply the complete list of fronts.

        Fronts that the list lacks are removed. Returns None if the revision
        of the KV has decreased.
        """
        if revision < self.cursor:
            return None
        listed = {change.name for change in changes}
        removals = [
            Change(known.name, revision, value=None)
            for known in self._registry.newest_changes()
            if known.name not in listed and known.value is not None
        ]
        applied = self._apply(revision, [*changes, *removals])
        self._registry.mark_synced()
        return applied

    def on_changes(
        self,
        revision: int,
        changes: list[Change],
    ) -> list[AppliedChange] | None:
        """Apply the changes after the cursor.

        Returns None if the revision of the KV has decreased.
        """
        if revision < self.cursor:
            return None
        return self._apply(revision, changes)

    def _apply(
        self, revision: int, changes: list[Change]
    ) -> list[AppliedChange]:
        applied = [
            AppliedChange(change, self._registry.adopt(change))
            for change in changes
        ]
        newest = max((change.revision for change in changes), default=0)
        self._registry.advance(newest)
        self._cursor = revision
        return applied
