"""The policy of each route: which replica, when a second one, at what cost."""

from collections import defaultdict

from crocusroad_core.gather import Policy
from crocusroad_core.retry_budget import RetryBudgets
from crocusroad_core.routes import Route
from crocusroad_core.routing import HedgeTiming, LatencyHistogram, Router


class RoutePolicies:
    """Builds the policy of a route, and learns its latency."""

    def __init__(self, router: Router, budget: RetryBudgets) -> None:
        self._router = router
        self._budget = budget
        # By name of the route.
        self._tracks: defaultdict[str, LatencyHistogram] = defaultdict(
            LatencyHistogram
        )
        self._timings: defaultdict[str, HedgeTiming] = defaultdict(HedgeTiming)

    def policy_for(self, route: Route, answer_by: float) -> Policy:
        """Return the policy of a route for a query due at a moment."""
        track = self._tracks[route.name]
        timing = self._timings[route.name]

        def hedge_delay(shard: str, now: float) -> float:
            return timing.delay(
                track.hedge_delay,
                answer_by - now,
                route.objective_seconds,
                is_budget_scarce=self._budget.is_scarce(shard, now),
            )

        return Policy(
            pick=self._router.pick,
            hedge_delay=hedge_delay,
            spend=self._budget.spend,
            allow_replacement=lambda has_run, now: False,
        )

    def record_latency(self, route: str, seconds: float) -> None:
        """Take the latency of an answer."""
        self._tracks[route].record(seconds)

    def record_hedge(
        self,
        route: str,
        seconds: float,
        *,
        is_answered: bool,
    ) -> None:
        """Take how long a hedge took, or was waited for in vain."""
        timing = self._timings[route]
        if is_answered:
            timing.record_latency(seconds)
        else:
            timing.record_abandoned(seconds)
