"""How long the requests to a server take."""

from collections.abc import Hashable

from crocusroad_core.queueing._waiting import MEAN_WEIGHT, ServerLoad


class ServiceTimes:
    """The requests in progress, and the durations of finished ones."""

    def __init__(self) -> None:
        self._mean: float = 0  # seconds; 0: not measured
        self._deviation: float = 0  # seconds, mean
        self._started: dict[Hashable, float] = {}  # the oldest first
        self._start_sum: float = 0  # of the times in `_started`

    def start(self, key: Hashable, now: float) -> None:
        """Record that a request is sent."""
        self._started[key] = now
        self._start_sum += now

    def end(self, key: Hashable, now: float, *, is_answered: bool) -> None:
        """Record the end of a request; only answers count as durations."""
        started_at = self._started.pop(key, None)
        if started_at is None:
            return
        self._start_sum -= started_at
        if is_answered:
            self._record(now - started_at)

    def load(self, connections: int, now: float) -> ServerLoad:
        """Return the load of the server.

        When it stalls, the requests in progress get older than the mean of
        the finished ones, and their mean age is the better estimate.
        """
        if not self._started:
            return ServerLoad(connections, self._mean, self._deviation)
        mean_age = now - self._start_sum / len(self._started)
        return ServerLoad(
            connections,
            max(self._mean, mean_age),
            self._deviation,
            now - next(iter(self._started.values())),
        )

    def _record(self, seconds: float) -> None:
        if self._mean:
            error = seconds - self._mean
            self._mean += MEAN_WEIGHT * error
            self._deviation += MEAN_WEIGHT * (abs(error) - self._deviation)
        else:
            self._mean = seconds
            self._deviation = seconds / 2
