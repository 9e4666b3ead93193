"""The policy of each route: which replica, when a second one, at what cost."""

from crocusroad_core.gather import Policy
from crocusroad_core.repeats import RepeatBudget
from crocusroad_core.routes import Route
from crocusroad_core.routing import LatencyTrack, Router

# A second replica is asked early enough for its answer to be in time: at this
# share of the objective at the latest, and at this one at the soonest.
LATEST_HEDGE = 0.5
SOONEST_HEDGE = 0.3


class Policies:
    """Builds the policy of a route, and learns its latency."""

    def __init__(self, router: Router, budget: RepeatBudget) -> None:
        self._router = router
        self._budget = budget
        self._tracks: dict[str, LatencyTrack] = {}  # by route

    def policy_for(self, route: Route) -> Policy:
        """Return the policy of a route."""
        track = self._track(route.name)

        def hedge_delay(shard: str, now: float) -> float:
            is_scarce = self._budget.is_scarce(shard)
            delay = track.scarce_delay if is_scarce else track.hedge_delay
            latest = LATEST_HEDGE * route.objective
            return min(latest, max(SOONEST_HEDGE * route.objective, delay))

        return Policy(
            pick=self._router.pick,
            hedge_delay=hedge_delay,
            spend=self._budget.spend,
            replace=lambda has_run, now: False,
        )

    def record(self, route: str, seconds: float) -> None:
        """Take the latency of an answer."""
        self._track(route).record(seconds)

    def _track(self, route: str) -> LatencyTrack:
        track = self._tracks.get(route)
        if track is None:
            track = LatencyTrack()
            self._tracks[route] = track
        return track
