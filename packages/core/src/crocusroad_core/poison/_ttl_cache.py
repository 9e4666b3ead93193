"""A bounded cache whose entries expire."""

from collections import OrderedDict
from typing import Generic, TypeVar

V = TypeVar('V')


class TtlCache(Generic[V]):
    """Entries by fingerprint that expire after `ttl` seconds.

    If the cache is full, the entry that was put longest ago is evicted.
    """

    def __init__(self, max_entries: int, ttl: float) -> None:
        self._max_entries = max_entries
        self._ttl = ttl
        self._entries: OrderedDict[str, tuple[float, V]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def put(
        self, key: str, entry: V, now: float, ttl: float | None = None
    ) -> None:
        """Store an entry and restart its time to live, which `ttl` replaces."""
        lifetime = self._ttl if ttl is None else min(ttl, self._ttl)
        self._entries[key] = (now + lifetime, entry)
        self._entries.move_to_end(key)
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def get(self, key: str, now: float) -> V | None:
        """Return an entry, or None if it is absent or has expired."""
        expires_at, entry = self._entries.get(key, (now, None))
        return entry if expires_at > now else None

    def live_items(self, now: float) -> list[tuple[str, V]]:
        """Return the entries that have not expired."""
        return [
            (key, entry)
            for key, (expires_at, entry) in self._entries.items()
            if expires_at > now
        ]

    def remaining(self, key: str, now: float) -> float:
        """Return the seconds until an entry expires, or 0 if it is absent."""
        expires_at, _ = self._entries.get(key, (now, None))
        return max(0, expires_at - now)

    def discard(self, key: str) -> None:
        """Remove an entry if it is present."""
        self._entries.pop(key, None)
