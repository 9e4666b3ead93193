"""When a second replica is asked, under a budget that does not reach for all.

The load this answers: each replica pauses for a few per cent of the time, and
a query to many shards meets some that pause. A hedge sent while the first
answer is still likely is wasted, and the budget is gone when it is needed; one
that is sent too late is not answered in time.
"""

from typing import Final

from crocusroad_core.routing._latency_histogram import LatencyHistogram

# The latest moment of a hedge leaves time for this share of its answers (one
# in five that comes too late costs less than the hedges sent in vain before),
# but for no more than this share of the objective: where most replicas are
# slow, hedges sent soon would go to all shards and help none.
IN_TIME_SHARE: Final = 0.8
MOST_TAKEN: Final = 0.4
# Answers after which what was learned replaces the first guess, and after
# which it is worked out anew.
WARM_ANSWERS: Final = 16
REFRESH_ANSWERS: Final = 8
# First guess of the time that an answer takes, and the soonest moment of a
# hedge, as shares of the objective.
FIRST_GUESS: Final = 0.3
SOONEST: Final = 0.3
# A hedge that was given up would have taken longer than it was waited for.
UNANSWERED_FACTOR: Final = 1.25


class HedgeTiming:
    """Learns how long hedges of a route take, and when to send them."""

    def __init__(self) -> None:
        self._track = LatencyHistogram()
        self._seen = 0
        self._answer_time: float = 0  # seconds; 0: not known yet

    def delay(
        self,
        usual: float,
        left: float,
        objective: float,
        *,
        is_budget_scarce: bool,
    ) -> float:
        """Return the seconds from now after which a shard is hedged.

        Args:
            usual: Seconds that all but a few first answers take.
            left: Seconds until the answer of the query is due.
            objective: Seconds within which the query should be answered.
            is_budget_scarce: Whether little of the budget is left. The hedge
                then waits as long as it can still be in time.
        """
        taken = self._answer_time or FIRST_GUESS * objective
        taken = min(taken, MOST_TAKEN * objective)
        # Also after the answer was due, when a query waits for more shards.
        soonest = SOONEST * objective
        latest = max(soonest, left - taken)
        return latest if is_budget_scarce else max(soonest, min(usual, latest))

    def record_latency(self, seconds: float) -> None:
        """Take how long a hedge took, its connection included."""
        self._track.record(seconds)
        self._seen += 1
        if self._seen >= WARM_ANSWERS and not self._seen % REFRESH_ANSWERS:
            self._answer_time = self._track.quantile(IN_TIME_SHARE)

    def record_abandoned(self, seconds: float) -> None:
        """Take that a hedge was given up after so many seconds."""
        self.record_latency(seconds * UNANSWERED_FACTOR)
