"""The first sub-request of a query that may crash what runs it."""

from collections import deque
from collections.abc import Iterable

from crocusroad_core.gather._event import FailureReason

MAX_FAILED = 2  # upstreams that may fail while they run the query

_FAILED = frozenset((FailureReason.broken, FailureReason.silent))


class Canary:
    """Holds the shards of a query back until one has answered whole."""

    def __init__(self, *, is_needed: bool) -> None:
        self._is_out = is_needed
        self._failed = 0
        self._waiting: deque[str] = deque()

    @property
    def is_out(self) -> bool:
        """Tell whether the other shards are still held back."""
        return self._is_out

    @property
    def has_failed(self) -> bool:
        """Tell whether the query has to be given up."""
        return self._is_out and self._failed >= MAX_FAILED

    def hold(self, shards: Iterable[str]) -> None:
        """Hold shards back, in place of those held before."""
        self._waiting = deque(shards)

    def next_shard(self) -> str | None:
        """Return one shard to ask; None if none is held back."""
        return self._waiting.popleft() if self._waiting else None

    def release(self) -> list[str]:
        """Return every shard held back; nothing is held any more."""
        self._is_out = False
        shards = list(self._waiting)
        self._waiting.clear()
        return shards

    def note_loss(self, reason: FailureReason) -> None:
        """Count an upstream that failed after the request was sent."""
        if self._is_out and reason in _FAILED:
            self._failed += 1

    def allows(self, running: int) -> bool:
        """Tell whether one more attempt may join those `running`."""
        return not self._is_out or self._failed + running < MAX_FAILED
