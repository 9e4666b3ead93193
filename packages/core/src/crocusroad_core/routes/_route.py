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
    timeout_seconds: float  # longest time that a caller waits
    objective_seconds: float  # an answer within it has its full value
    priority: int  # 0 is the most urgent
    max_replicas: int  # that one request may be sent to, for each shard
    services: tuple[WeightedService, ...] = ()  # of requests to one replica
    shards: tuple[str, ...] = ()  # services of a fan-out
    top_k: int = 0  # records wanted of a fan-out
    min_shard_ratio: float = 0  # of the shards that an answer needs

    @property
    def is_fan_out(self) -> bool:
        """Tell whether requests go to every shard."""
        return bool(self.shards)
