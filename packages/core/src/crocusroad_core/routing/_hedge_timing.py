"""Timing of hedges under a budget that is too small to hedge every request.

Each replica pauses for a few per cent of the time, so a query to many shards
meets some replicas that pause. A hedge sent while the first answer is still
likely is wasted, and the budget is then exhausted when a hedge is needed. A
hedge sent too late is not answered before the query is due.
"""

from typing import Final

from crocusroad_core.routing._latency_histogram import LatencyHistogram

# The latest time of a hedge leaves enough time for this share of the answers to
# hedges: one answer in five that is late costs less than sending all hedges
# earlier, where more of them are wasted.
IN_TIME_QUANTILE: Final = 0.8
# Upper bound of the time left for the answer to a hedge, as a share of the
# objective. Where most replicas are slow, early hedges would go to all shards
# without helping any.
MAX_LATENCY_SHARE: Final = 0.4
# Number of hedges after which the measured latency replaces the initial
# estimate, and the interval at which it is recomputed.
WARM_UP_HEDGES: Final = 16
REFRESH_HEDGES: Final = 8
# Initial estimate of a hedge's latency, and the earliest time of a hedge, as
# shares of the objective.
INITIAL_LATENCY_SHARE: Final = 0.3
MIN_DELAY_SHARE: Final = 0.3
# An abandoned hedge would have taken longer than the time it was waited for.
ABANDONED_FACTOR: Final = 1.25


class HedgeTiming:
    """Estimates the latency of a route's hedges and when to send them."""

    def __init__(self) -> None:
        self._histogram = LatencyHistogram()
        self._recorded = 0
        self._hedge_latency: float = 0  # seconds; 0: not known yet

    def delay(
        self,
        usual: float,
        remaining: float,
        objective: float,
        *,
        is_budget_scarce: bool,
    ) -> float:
        """Return the seconds from now after which a shard is hedged.

        Args:
            usual: Seconds within which all but a few first attempts are
                answered.
            remaining: Seconds until the answer to the query is due. Negative
                if the query still waits for shards after that.
            objective: Seconds within which the query should be answered.
            is_budget_scarce: Whether little of the budget is left. The hedge
                is then sent as late as it can still be answered in time.
        """
        latency = self._hedge_latency or INITIAL_LATENCY_SHARE * objective
        latency = min(latency, MAX_LATENCY_SHARE * objective)
        # The lower bound also holds once the answer is overdue.
        earliest = MIN_DELAY_SHARE * objective
        latest = max(earliest, remaining - latency)
        return latest if is_budget_scarce else max(earliest, min(usual, latest))

    def record_latency(self, seconds: float) -> None:
        """Record the latency of a hedge, including the time to connect."""
        self._histogram.record(seconds)
        self._recorded += 1
        if (
            self._recorded >= WARM_UP_HEDGES
            and not self._recorded % REFRESH_HEDGES
        ):
            self._hedge_latency = self._histogram.quantile(IN_TIME_QUANTILE)

    def record_abandoned(self, seconds: float) -> None:
        """Record a hedge that was abandoned after `seconds`."""
        self.record_latency(seconds * ABANDONED_FACTOR)
