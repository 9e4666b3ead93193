"""The request IDs that a connection has carried."""

from typing import Final

MIN_PRUNED_COUNT: Final = 16


class SentIds:
    """The IDs that a connection has carried, each until it expires.

    IDs that have expired are dropped whenever the number of IDs has doubled.
    """

    def __init__(self) -> None:
        self._expiry: dict[bytes, float] = {}  # by ID
        self._prune_count = MIN_PRUNED_COUNT

    def __len__(self) -> int:
        """Return how many IDs are kept."""
        return len(self._expiry)

    def add(self, request_id: bytes, expires_at: float, now: float) -> None:
        """Add an ID; an empty one names no request."""
        if not request_id:
            return
        self._expiry[request_id] = expires_at
        if len(self._expiry) >= self._prune_count:
            self._expiry = {
                sent_id: expiry
                for sent_id, expiry in self._expiry.items()
                if expiry > now
            }
            self._prune_count = max(MIN_PRUNED_COUNT, 2 * len(self._expiry))

    def has(self, request_id: bytes, now: float) -> bool:
        """Return whether an ID was added and has not expired."""
        return self._expiry.get(request_id, now) > now
