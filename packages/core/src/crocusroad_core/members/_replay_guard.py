"""Detection of replayed frames."""

from typing import NamedTuple


class FrameId(NamedTuple):
    """The identity of a frame, unique in the cluster."""

    sender: str
    incarnation: int
    serial: int


class ReplayGuard:
    """The ids of recently admitted frames; at most `limit`."""

    def __init__(self, max_age: float, limit: int) -> None:
        self._max_age = max_age  # seconds
        self._limit = limit
        self._expiries: dict[FrameId, float] = {}

    def is_timely(self, sent_at: float, now: float) -> bool:
        """Tell whether a frame is recent enough for a replay to be detected."""
        return abs(now - sent_at) <= self._max_age

    def admit(self, frame_id: FrameId, now: float) -> bool:
        """Record a timely frame; tell whether it arrives for the first time.

        A full guard admits nothing, since it could not detect a replay.
        """
        self._drop_expired(now)
        if frame_id in self._expiries or len(self._expiries) >= self._limit:
            return False
        # The sender's clock may be ahead by up to the maximum age.
        self._expiries[frame_id] = now + 2 * self._max_age
        return True

    def _drop_expired(self, now: float) -> None:
        while self._expiries:
            oldest = next(iter(self._expiries))
            if self._expiries[oldest] > now:
                return
            self._expiries.pop(oldest)
