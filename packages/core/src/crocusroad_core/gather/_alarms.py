"""Moments at which the shards of a query want to be looked at."""

from heapq import heappop, heappush
from math import inf


class Alarms:
    """One moment for each key, earliest first.

    Setting and clearing cost O(log n); moments that were replaced stay in the
    heap until they come to its top.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []
        self._moments: dict[str, float] = {}

    def put(self, key: str, when: float) -> None:
        """Set the moment of a key, in place of the one it had."""
        self._moments[key] = when
        heappush(self._heap, (when, key))

    def has(self, key: str) -> bool:
        """Tell whether a key has a moment."""
        return key in self._moments

    def clear(self, key: str) -> None:
        """Forget the moment of a key."""
        self._moments.pop(key, None)

    def clear_all(self) -> None:
        """Forget every moment."""
        self._heap.clear()
        self._moments.clear()

    def earliest(self) -> float:
        """Return the earliest moment; infinity if there is none."""
        heap = self._heap
        while heap and self._moments.get(heap[0][1]) != heap[0][0]:
            heappop(heap)
        return heap[0][0] if heap else inf

    def pop_due(self, now: float) -> list[str]:
        """Return the keys whose moment has come, and forget them."""
        due: list[str] = []
        while self.earliest() <= now:
            _, key = heappop(self._heap)
            del self._moments[key]
            due.append(key)
        return due
