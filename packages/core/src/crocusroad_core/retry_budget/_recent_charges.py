"""The retries that may reach a service in a window of now."""

import heapq


class RecentCharges:
    """Counts retries from sending them until a window after their arrival.

    A retry that a service has not answered may be held on the way or by a
    replica that is stopped, and arrive long after it was sent.
    """

    __slots__ = ('_open_count', '_until')

    def __init__(self) -> None:
        self._open_count = 0
        # Times until which settled retries count; a heap.
        self._until: list[float] = []

    def add(self) -> None:
        """Count a retry that is sent."""
        self._open_count += 1

    def settle(self, until: float) -> None:
        """Count a retry until the given time only."""
        self._open_count -= 1
        heapq.heappush(self._until, until)

    def total(self, now: float) -> int:
        """Return the number of retries that count now."""
        while self._until and self._until[0] <= now:
            heapq.heappop(self._until)
        return self._open_count + len(self._until)
