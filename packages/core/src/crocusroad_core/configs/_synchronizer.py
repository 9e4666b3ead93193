"""What a node takes from the KV's lists and watches."""

from typing import NamedTuple

from crocusroad_core.configs._change import Adoption, Change
from crocusroad_core.configs._registry import FrontRegistry


class AppliedChange(NamedTuple):
    """A change and what became of it."""

    change: Change
    adoption: Adoption


class FrontSynchronizer:
    """Adopts from the KV, and refuses a store that has gone back.

    A store whose revision is below one seen before is a stale replica or a
    restored backup; nothing is taken from it.
    """

    def __init__(self, book: FrontRegistry) -> None:
        self._book = book
        self._cursor = 0

    @property
    def cursor(self) -> int:
        """Return the revision of the store to watch from."""
        return max(self._cursor, self._book.position)

    def on_list(
        self,
        revision: int,
        changes: list[Change],
    ) -> list[AppliedChange] | None:
        """Take the whole list of fronts; None: the store has gone back."""
        if revision < self.cursor:
            return None
        listed = {change.name for change in changes}
        gone = [
            Change(known.name, revision, value=None)
            for known in self._book.newest_changes()
            if known.name not in listed and known.value is not None
        ]
        adopted = self._take(revision, [*changes, *gone])
        self._book.mark_synced()
        return adopted

    def on_changes(
        self,
        revision: int,
        changes: list[Change],
    ) -> list[AppliedChange] | None:
        """Take the changes after the cursor; None: the store has gone back."""
        if revision < self.cursor:
            return None
        return self._take(revision, changes)

    def _take(
        self, revision: int, changes: list[Change]
    ) -> list[AppliedChange]:
        adopted = [AppliedChange(one, self._book.adopt(one)) for one in changes]
        newest = max((one.revision for one in changes), default=0)
        self._book.advance(newest)
        self._cursor = revision
        return adopted
