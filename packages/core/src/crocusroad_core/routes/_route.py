"""Where the requests of a host below a path prefix go."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of a host below a path prefix go, and how."""

    name: str
    host: str  # lower case, without a port
    prefix: str  # begins and ends with a slash
    is_repeatable: bool  # whether requests may run more than once
    timeout: float  # seconds; the longest that a caller is kept waiting
    objective: float  # seconds; an answer within them earns its full worth
    urgency: int  # rank; 0 is the most urgent
    max_replicas: int  # that one request may be sent to, for each shard
    services: tuple[WeightedService, ...] = ()  # of requests to one replica
    shards: tuple[str, ...] = ()  # services of a fan-out
    top: int = 0  # records wanted of a fan-out
    least_share: float = 0  # of the shards that an answer needs

    @property
    def is_fan_out(self) -> bool:
        """Tell whether requests go to every shard."""
        return bool(self.shards)
