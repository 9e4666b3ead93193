"""The recent changes of fronts, for watching operators."""

from bisect import bisect_right, insort
from operator import attrgetter

from crocusroad_core.configs._change import FrontEvent

_by_revision = attrgetter('revision')


class ChangeHistory:
    """The last changes by revision, in bounded memory."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._events: list[FrontEvent] = []
        self._floor = 0

    @property
    def floor(self) -> int:
        """Return the revision up to which changes are forgotten."""
        return self._floor

    def record(self, event: FrontEvent) -> None:
        """Keep an event; forget the oldest when there are too many."""
        insort(self._events, event, key=_by_revision)
        while len(self._events) > self._limit:
            self.forget(self._events[0].revision)

    def forget(self, upto: int) -> None:
        """Forget every change up to a revision."""
        self._floor = max(self._floor, upto)
        place = bisect_right(self._events, upto, key=_by_revision)
        del self._events[:place]

    def between(self, after: int, upto: int) -> list[FrontEvent] | None:
        """Return the changes after a revision, up to another.

        None: some of them are forgotten; the reader has to list again.
        """
        if after < self._floor:
            return None
        first = bisect_right(self._events, after, key=_by_revision)
        last = bisect_right(self._events, upto, key=_by_revision)
        return self._events[first:last]
