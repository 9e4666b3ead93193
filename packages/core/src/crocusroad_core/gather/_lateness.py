"""The margin by which an answer is started before its due time."""

from typing import Final

# Covers the work around a request that is not measured: accepting the
# connection, writing the answer, and the caller's own work.
MIN_MARGIN_SECONDS: Final = 0.008
MAX_MARGIN_SECONDS: Final = 0.038  # an instance that is later is too slow
# The estimate is multiplied by this for each answer that is less late.
DECAY_FACTOR: Final = 0.95


class LatenessEstimator:
    """Estimates how late answers go out after their due time.

    On a slow instance the timer fires late and the merge takes long. The
    estimate is the largest recent lateness, with exponential decay.
    """

    def __init__(self) -> None:
        self._lateness: float = 0

    @property
    def margin(self) -> float:
        """Return the seconds before the objective at which to start."""
        return min(MAX_MARGIN_SECONDS, MIN_MARGIN_SECONDS + self._lateness)

    def record(self, lateness: float) -> None:
        """Record how many seconds after its due time an answer went out."""
        self._lateness = max(lateness, self._lateness * DECAY_FACTOR)
