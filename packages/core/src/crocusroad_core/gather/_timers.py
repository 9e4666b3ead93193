"""Timers of the shards of a query."""

from heapq import heappop, heappush
from math import inf


class TimerQueue:
    """One due time for each key, earliest first.

    Setting and cancelling a timer cost O(log n). A replaced entry stays in the
    heap until it reaches the top.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._due_times: dict[str, float] = {}

    def set(self, key: str, when: float) -> None:
        """Set the due time of a key, replacing an earlier one."""
        self._due_times[key] = when
        heappush(self._heap, (when, key))

    def has(self, key: str) -> bool:
        """Tell whether a key has a timer."""
        return key in self._due_times

    def cancel(self, key: str) -> None:
        """Cancel the timer of a key, if it has one."""
        self._due_times.pop(key, None)

    def cancel_all(self) -> None:
        """Cancel every timer."""
        self._heap.clear()
        self._due_times.clear()

    def earliest(self) -> float:
        """Return the earliest due time, or infinity if no timer is set."""
        heap = self._heap
        while heap and self._due_times.get(heap[0][1]) != heap[0][0]:
            heappop(heap)
        return heap[0][0] if heap else inf

    def pop_due(self, now: float) -> list[str]:
        """Remove the timers that are due and return their keys."""
        due: list[str] = []
        while self.earliest() <= now:
            _, key = heappop(self._heap)
            del self._due_times[key]
            due.append(key)
        return due
