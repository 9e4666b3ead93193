"""The routes, services and request limits of one configuration."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from crocusroad_core.routes._route import Route


class Service(NamedTuple):
    """The configuration of a service."""

    name: str
    health_path: str
    max_connections: int  # that each replica accepts, over all callers


class RequestLimits(NamedTuple):
    """Limits on the size and the duration of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


class RouteTable:
    """The routes of one configuration, looked up by host and path."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, Service],
        limits: RequestLimits,
    ) -> None:
        self.version = version
        self.services = services
        self.limits = limits
        self._routes_by_host: dict[str, list[Route]] = {}
        self._shard_services: set[str] = set()
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
            self._shard_services.update(route.shards)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=_prefix_length, reverse=True)

    def is_shard(self, service: str) -> bool:
        """Return whether any route fans out to a service."""
        return service in self._shard_services

    def find(self, host: str, path: str) -> Route | None:
        """Return the matching route with the longest prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
