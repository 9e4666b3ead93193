"""The time that an instance which stops has left for a request."""

from math import inf
from typing import Final, NamedTuple

# A replica may take this many times as long as expected.
EXPECTED_MARGIN: Final = 1.5


class StopWindow(NamedTuple):
    """The time by which an instance answers all requests."""

    answers_until: float = inf  # seconds, clock of the node; inf: no stop

    @property
    def is_open_ended(self) -> bool:
        """Tell whether the instance does not stop."""
        return self.answers_until == inf

    def allows(self, seconds: float, now: float) -> bool:
        """Tell whether something that takes `seconds` ends in time."""
        return now + seconds <= self.answers_until

    def allows_replica(self, expected_seconds: float, now: float) -> bool:
        """Tell whether a replica can be relied on to answer in time.

        `expected_seconds` is the expected time until its answer.
        """
        return self.allows(EXPECTED_MARGIN * expected_seconds, now)
