"""The routes, services and limits of one configuration."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from crocusroad_core.routes._route import Route


class Service(NamedTuple):
    """What a configuration says of a service."""

    name: str
    health_path: str
    max_connections: int  # that each replica accepts, over all callers


class RequestLimits(NamedTuple):
    """What callers may send and how long they may take."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


class RouteTable:
    """The routes of one configuration, by host and path prefix."""

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
        self._hosts: dict[str, list[Route]] = {}
        self._shards: set[str] = set()  # services that routes fan out to
        for route in routes:
            self._hosts.setdefault(route.host, []).append(route)
            self._shards.update(route.shards)
        for same in self._hosts.values():
            same.sort(key=_prefix_length, reverse=True)

    def is_shard(self, service: str) -> bool:
        """Tell whether any route fans out to a service."""
        return service in self._shards

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix; None if none fits."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
