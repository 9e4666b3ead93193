"""The sizes and the requests of the two users' sites."""

from typing import NamedTuple


class RequestKind(NamedTuple):
    """One kind of request that callers send."""

    name: str
    rate: float  # a second
    work_seconds: float
    objective_ms: int
    deadline_ms: int
    priority: int
    top_k: int = 0  # 0: one replica answers
    min_shard_ratio: float = 1
    method: str = 'GET'

    @property
    def is_fan_out(self):
        return self.top_k > 0

    @property
    def is_repeatable(self):
        return self.method == 'GET'

    @property
    def prefix(self):
        return f'/{self.name}/'


class Deployment(NamedTuple):
    """The machines, services and requests of a site."""

    name: str
    zones: tuple[str, ...]  # of each gateway
    replica_zones: tuple[str, ...]  # of the replicas of each shard
    shard_count: int
    shard_connections: int
    single_replicas: int  # of the service whose requests one replica answers
    single_slots: int
    single_connections: int
    kinds: tuple[RequestKind, ...]
    retry_slack: int
    grace: float = 6
    retry_ratio: float = 0.2
    retry_window: float = 10


EMUSB = Deployment(
    name='emusb-search',
    zones=('a', 'a', 'a', 'b', 'b', 'b', 'c', 'c'),
    replica_zones=('a', 'b'),
    shard_count=20,
    shard_connections=26,
    single_replicas=8,
    single_slots=2,
    single_connections=110,
    kinds=(
        RequestKind('history', 33.8, 0.03, 183, 2500, 1, 20, 0.89),
        RequestKind('outage', 11.2, 0.0101, 91, 1000, 2, 5, 0.75),
        RequestKind('meter', 11.2, 0.171, 634, 10_000, 2),
        RequestKind('post', 1, 0.171, 634, 10_000, 2, method='POST'),
    ),
    retry_slack=56,
)
PLUTACA = Deployment(
    name='plutaca-trazilica',
    zones=('a', 'a', 'b', 'b', 'c', 'c', 'd'),
    replica_zones=('a', 'c'),
    shard_count=20,
    shard_connections=26,
    single_replicas=5,
    single_slots=3,
    single_connections=39,
    kinds=(
        RequestKind('pregled', 33.7, 0.03, 233, 800, 1, 20, 0.89),
        RequestKind('upit', 11.2, 0.0101, 111, 400, 2, 5, 0.75),
        RequestKind('povijest', 11.2, 0.16, 600, 4000, 2),
        RequestKind('post', 1, 0.16, 600, 4000, 2, method='POST'),
    ),
    retry_slack=54,
)
DEPLOYMENTS = {site.name: site for site in (EMUSB, PLUTACA)}
