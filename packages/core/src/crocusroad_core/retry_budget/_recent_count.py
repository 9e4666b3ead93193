"""A count of recent events."""

from collections import deque
from typing import Final

BUCKETS: Final = 10  # in a window


class RecentCount:
    """Counts the events of the last window.

    The oldest ones may be left out up to a bucket early.
    """

    __slots__ = ('_buckets', '_total')

    def __init__(self) -> None:
        self._buckets: deque[tuple[int, int]] = deque()  # (number, count)
        self._total = 0

    def add(self, now: float, window_seconds: float) -> None:
        """Count an event."""
        number = int(now * BUCKETS / window_seconds)
        buckets = self._buckets
        count = 1
        if buckets and buckets[-1][0] >= number:
            number, count = buckets.pop()
            count += 1
        buckets.append((number, count))
        self._total += 1

    def total(self, now: float, window_seconds: float) -> int:
        """Return the number of recent events."""
        oldest = int(now * BUCKETS / window_seconds) - BUCKETS + 1
        buckets = self._buckets
        while buckets and buckets[0][0] < oldest:
            self._total -= buckets.popleft()[1]
        return self._total
