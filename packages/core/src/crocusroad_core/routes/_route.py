"""Routes: where the requests for a host and path prefix are sent."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service and its relative share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests for a host and path prefix are sent, and how."""

    name: str
    host: str  # lower case, without a port
    prefix: str  # begins and ends with a slash
    is_repeatable: bool  # whether a request may run more than once
    timeout_seconds: float  # longest time that a caller waits
    objective_seconds: float  # an answer within it has its full value
    priority: int  # 0 is the most urgent
    max_replicas: int  # to which one request may be sent, per shard
    services: tuple[WeightedService, ...] = ()  # of requests to one replica
    shards: tuple[str, ...] = ()  # services to which a request fans out
    top_k: int = 0  # records that a fan-out returns at most
    min_shard_ratio: float = 0  # share of the shards that an answer needs

    @property
    def is_fan_out(self) -> bool:
        """Return whether a request is sent to every shard."""
        return bool(self.shards)
