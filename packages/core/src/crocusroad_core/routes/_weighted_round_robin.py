"""Smooth weighted turns among the services of a route."""

from collections.abc import Callable

from crocusroad_core.routes._route import Route, WeightedService


class WeightedRoundRobin:
    """Deals the requests of each route out by weight.

    Any run of requests of a route is within one request of its weights.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw  # gives floats in [0, 1)
        self._credits: dict[str, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service whose turn it is."""
        if len(route.services) == 1:
            return route.services[0].service
        dealt = self._dealt(route)
        total = sum(one.weight for one in route.services)
        for one in route.services:
            dealt[one.service] += one.weight
        chosen = max(dealt, key=dealt.__getitem__)
        dealt[chosen] -= total
        return chosen

    def _dealt(self, route: Route) -> dict[str, float]:
        names = {one.service for one in route.services}
        dealt = self._credits.get(route.name)
        if dealt is None or dealt.keys() != names:
            dealt = self._started(route.services)
            self._credits[route.name] = dealt
        return dealt

    def _started(
        self,
        services: tuple[WeightedService, ...],
    ) -> dict[str, float]:
        # Instances start at different places, so that their turns add up to
        # the weights also where each one serves few requests.
        return {one.service: one.weight * self._draw() for one in services}
