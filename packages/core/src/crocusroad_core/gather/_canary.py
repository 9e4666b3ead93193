"""The canary sub-request of a query that may crash its upstreams."""

from collections import deque
from collections.abc import Iterable

from crocusroad_core.gather._event import FailureReason

MAX_FAILED_UPSTREAMS = 2  # upstreams that may fail while running the query

_CRASH_REASONS = frozenset((FailureReason.broken, FailureReason.silent))


class Canary:
    """Holds back the shards of a query until one of them has answered."""

    def __init__(self, *, is_needed: bool) -> None:
        self._is_pending = is_needed
        self._failed_count = 0
        self._held_shards: deque[str] = deque()

    @property
    def is_pending(self) -> bool:
        """Tell whether the other shards are still held back."""
        return self._is_pending

    @property
    def has_failed(self) -> bool:
        """Tell whether the query has to be given up."""
        return self._is_pending and self._failed_count >= MAX_FAILED_UPSTREAMS

    def hold(self, shards: Iterable[str]) -> None:
        """Hold back these shards, replacing those held before."""
        self._held_shards = deque(shards)

    def next_shard(self) -> str | None:
        """Remove and return one held shard, or None if none is held."""
        return self._held_shards.popleft() if self._held_shards else None

    def release(self) -> list[str]:
        """Stop holding shards back and return those that were held."""
        self._is_pending = False
        shards = list(self._held_shards)
        self._held_shards.clear()
        return shards

    def record_failure(self, reason: FailureReason) -> None:
        """Count an upstream that failed after the request was sent."""
        if self._is_pending and reason in _CRASH_REASONS:
            self._failed_count += 1

    def allows_attempt(self, running_count: int) -> bool:
        """Tell whether one more attempt may run beside the running ones."""
        return (
            not self._is_pending
            or self._failed_count + running_count < MAX_FAILED_UPSTREAMS
        )
