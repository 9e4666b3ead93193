"""Recognition of frames that come a second time."""

from typing import NamedTuple


class FrameId(NamedTuple):
    """What tells one frame of the cluster from every other."""

    sender: str
    incarnation: int
    serial: int


class ReplayGuard:
    """The marks of the frames admitted of late; bounded."""

    def __init__(self, max_age: float, limit: int) -> None:
        self._max_age = max_age
        self._limit = limit
        self._seen: dict[FrameId, float] = {}  # mark: when it is forgotten

    def is_timely(self, sent_at: float, now: float) -> bool:
        """Tell whether a frame is young enough for its repeat to be known."""
        return abs(now - sent_at) <= self._max_age

    def admit(self, mark: FrameId, now: float) -> bool:
        """Tell whether a timely frame comes for the first time.

        A full guard admits nothing, since it could not tell the repeat.
        """
        self._forget(now)
        if mark in self._seen or len(self._seen) >= self._limit:
            return False
        # A sender's clock may be ahead by the greatest age.
        self._seen[mark] = now + 2 * self._max_age
        return True

    def _forget(self, now: float) -> None:
        while self._seen:
            oldest = next(iter(self._seen))
            if self._seen[oldest] > now:
                return
            self._seen.pop(oldest)
