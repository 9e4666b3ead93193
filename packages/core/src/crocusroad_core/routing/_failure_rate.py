"""Recent rate of failed attempts at one replica.

Some replicas refuse or fail part of their requests while their health and
latency look good. Without this rate they would get a full share of the work,
and each failed attempt there costs a retry.
"""

from typing import Final

SAMPLE_WEIGHT: Final = 0.2  # of a new attempt in the rate
# Seconds without an attempt after which the rate is taken as zero: faults of
# this kind last for about as long.
FADE_SECONDS: Final = 6.0
# Cost of a failed attempt, in seconds of latency: the detour to another
# replica, and the retry that is missing from the budget later.
FAILURE_COST_SECONDS: Final = 0.1


class FailureRate:
    """Moving average of the share of attempts that failed.

    The rate fades linearly to zero while there are no attempts.
    """

    __slots__ = ('_rate', '_updated_at')

    def __init__(self) -> None:
        self._rate: float = 0
        self._updated_at: float = 0  # seconds

    def update(self, now: float, *, is_failure: bool) -> None:
        """Add the result of an attempt to the rate."""
        rate = self._faded(now)
        self._rate = rate + SAMPLE_WEIGHT * (is_failure - rate)
        self._updated_at = now

    def cost(self, now: float) -> float:
        """Return the expected cost of failure, in seconds of latency."""
        return self._faded(now) * FAILURE_COST_SECONDS if self._rate else 0

    def _faded(self, now: float) -> float:
        age = now - self._updated_at
        return self._rate * max(0, 1 - age / FADE_SECONDS)
