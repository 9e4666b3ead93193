"""How early an answer has to be begun to go out in time."""

from typing import Final

# Seconds that a caller waits besides: a connection, the request and the
# answer take four ways of 3 ms to the farthest callers, and the work there.
LEAST_MARGIN: Final = 0.015
MOST_MARGIN: Final = 0.045  # seconds; an instance slower than that is too slow
# Share of a lateness that is kept with each answer that is less late.
KEPT: Final = 0.95


class LatenessEstimator:
    """Learns how late answers go out that were due at a moment.

    On a slow instance the timer fires late and the merge takes long; the
    margin is the largest lateness of late, which fades.
    """

    def __init__(self) -> None:
        self._late: float = 0

    @property
    def margin(self) -> float:
        """Return the seconds before the objective at which to begin."""
        return min(MOST_MARGIN, LEAST_MARGIN + self._late)

    def record(self, late: float) -> None:
        """Take by how many seconds an answer went out after it was due."""
        self._late = max(late, self._late * KEPT)
