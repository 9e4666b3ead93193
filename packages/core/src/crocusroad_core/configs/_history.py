"""The recent changes of fronts, for operators that watch them."""

from bisect import bisect_right, insort
from operator import attrgetter

from crocusroad_core.configs._change import FrontEvent

_by_revision = attrgetter('revision')


class ChangeHistory:
    """A bounded list of the latest changes, ordered by revision."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._events: list[FrontEvent] = []
        self._compacted_revision = 0

    @property
    def compacted_revision(self) -> int:
        """Return the revision up to which changes have been discarded."""
        return self._compacted_revision

    def record(self, event: FrontEvent) -> None:
        """Add an event and discard the oldest ones beyond the limit."""
        insort(self._events, event, key=_by_revision)
        while len(self._events) > self._limit:
            self.compact(self._events[0].revision)

    def compact(self, upto: int) -> None:
        """Discard every change up to and including a revision."""
        self._compacted_revision = max(self._compacted_revision, upto)
        index = bisect_right(self._events, upto, key=_by_revision)
        del self._events[:index]

    def between(self, after: int, upto: int) -> list[FrontEvent] | None:
        """Return the changes after one revision, up to and including another.

        Returns None if some of them have been discarded; the reader then has
        to list the fronts again.
        """
        if after < self._compacted_revision:
            return None
        first = bisect_right(self._events, after, key=_by_revision)
        last = bisect_right(self._events, upto, key=_by_revision)
        return self._events[first:last]
