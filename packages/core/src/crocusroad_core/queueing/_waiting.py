"""A request that waits for a server, and the load of that server."""

from math import inf, sqrt
from typing import Final, NamedTuple

# Mean deviations by which an optimistic duration is below the mean.
DEVIATIONS: Final = 3.0
# Variance of the mean duration, which is an exponential moving average, in
# those of one duration.
MEAN_WEIGHT: Final = 0.1
MEAN_VARIANCE: Final = MEAN_WEIGHT / (2 - MEAN_WEIGHT)
# Least share of the mean interval at which the queue is assumed to drain.
MIN_DRAIN_RATIO: Final = 0.5


class WaitingRequest(NamedTuple):
    """What decides when a request is sent; times in seconds."""

    arrived_at: float = 0
    priority: int = 0  # 0 is the most urgent
    answer_by: float = inf  # end of its latency objective
    deadline: float = inf


class ServerLoad(NamedTuple):
    """What a server does with the requests of this instance; in seconds."""

    connections: int  # each carries one request at a time
    seconds: float  # that a request takes; 0: not known
    deviation: float = 0  # mean deviation of these
    oldest_age: float = 0  # of the request in progress for longest

    @property
    def interval(self) -> float:
        """Return the seconds between two requests that are sent; 0: unknown."""
        return self.seconds / self.connections if self.connections else 0

    @property
    def least_seconds(self) -> float:
        """Return how long a short request takes."""
        return max(0, self.seconds - DEVIATIONS * self.deviation)

    def least_wait(self, position: float) -> float:
        """Return the least wait in the queue; position 0 is sent now."""
        if position <= 0:
            return 0
        first = max(0, self.least_seconds - self.oldest_age)
        # The deviations of many requests partly cancel out, but not the error
        # of the mean.
        error = sqrt(1 / position + MEAN_VARIANCE)
        spread = DEVIATIONS * self.deviation * error
        drain = max(MIN_DRAIN_RATIO * self.seconds, self.seconds - spread)
        # All connections may become free at the same time.
        return first + (position - 1) // self.connections * drain


class QueueEstimate(NamedTuple):
    """The estimated wait of a request that joins a queue now."""

    seconds: float  # until it would be answered
    interval: float  # seconds between two requests that are sent
