"""Smooth weighted round-robin over the services of a route."""

from collections.abc import Callable

from crocusroad_core.routes._route import Route, WeightedService


class WeightedRoundRobin:
    """Distributes the requests of each route over its services by weight.

    In any sequence of requests of a route, each service gets its weighted
    share to within one request.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random  # returns floats in [0, 1)
        self._credits_by_route: dict[str, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        credits = self._route_credits(route)
        total = sum(weighted.weight for weighted in route.services)
        for weighted in route.services:
            credits[weighted.service] += weighted.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen

    def _route_credits(self, route: Route) -> dict[str, float]:
        names = {weighted.service for weighted in route.services}
        credits = self._credits_by_route.get(route.name)
        if credits is None or credits.keys() != names:
            credits = self._initial_credits(route.services)
            self._credits_by_route[route.name] = credits
        return credits

    def _initial_credits(
        self,
        services: tuple[WeightedService, ...],
    ) -> dict[str, float]:
        # Instances start with random credits. Otherwise every instance would
        # begin with the same services, and the fleet's requests would not
        # follow the weights where each instance serves only a few of them.
        return {
            weighted.service: weighted.weight * self._random()
            for weighted in services
        }
