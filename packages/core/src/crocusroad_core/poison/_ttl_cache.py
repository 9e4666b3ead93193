"""A bounded table whose entries expire."""

from collections import OrderedDict
from typing import Generic, TypeVar

V = TypeVar('V')


class TtlCache(Generic[V]):
    """Entries by fingerprint; the one touched longest ago goes first."""

    def __init__(self, size: int, seconds: float) -> None:
        self._size = size
        self._seconds = seconds
        self._entries: OrderedDict[str, tuple[float, V]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, key: str, entry: V, now: float) -> None:
        """Keep an entry for the table's number of seconds."""
        self._entries[key] = (now + self._seconds, entry)
        self._entries.move_to_end(key)
        while len(self._entries) > self._size:
            self._entries.popitem(last=False)

    def get(self, key: str, now: float) -> V | None:
        """Return an entry that has not expired."""
        expires, entry = self._entries.get(key, (now, None))
        return entry if expires > now else None

    def remaining(self, key: str, now: float) -> float:
        """Return the seconds until an entry expires; 0 if there is none."""
        expires, _ = self._entries.get(key, (now, None))
        return max(0, expires - now)

    def discard(self, key: str) -> None:
        """Remove an entry if it is there."""
        self._entries.pop(key, None)
