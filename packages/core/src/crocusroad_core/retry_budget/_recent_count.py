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
        self._discard_old(number)
        count = 1
        if self._buckets and self._buckets[-1][0] == number:
            count += self._buckets.pop()[1]
        self._buckets.append((number, count))
        self._total += 1

    def total(self, now: float, window_seconds: float) -> int:
        """Return the number of recent events."""
        self._discard_old(int(now * BUCKETS / window_seconds))
        return self._total

    def _discard_old(self, number: int) -> None:
        buckets = self._buckets
        if buckets and buckets[-1][0] > number:
            # They were counted in windows of another length.
            buckets.clear()
            self._total = 0
        while buckets and buckets[0][0] <= number - BUCKETS:
            self._total -= buckets.popleft()[1]
