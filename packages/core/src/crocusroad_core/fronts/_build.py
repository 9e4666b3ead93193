"""Construction of a front from its spec."""

from crocusroad_core.fronts._caller import Caller
from crocusroad_core.fronts._front import Front
from crocusroad_core.fronts._kind import RequestKind
from crocusroad_core.fronts._replica import Replica
from crocusroad_core.fronts._shard_map import ShardMap
from crocusroad_wire import (
    CallerSpec,
    FrontSpec,
    KindSpec,
    ReplicaSpec,
    ShardMapSpec,
)

DEFAULT_SLOTS = 2  # concurrent requests per replica
DEFAULT_CONNECTIONS = 25  # per replica, over all instances
DEFAULT_RATE_PER_SECOND = 1000.0  # per caller, over all instances
DEFAULT_WORTH = 1.0
DEFAULT_DEADLINE_MS = 1000
DEFAULT_MAX_IN_FLIGHT = 256  # requests of a kind per instance
MS_PER_SECOND = 1000.0


def build_front(name: str, revision: int, spec: FrontSpec) -> Front:
    """Build a front from a spec that `check_spec` has accepted."""
    shard_maps = (_build_shard_map(entry) for entry in spec['shard_maps'])
    callers = (_build_caller(entry) for entry in spec['callers'])
    kinds = (_build_kind(entry) for entry in spec['kinds'])
    return Front(
        name=name,
        revision=revision,
        shard_maps={entry.version: entry for entry in shard_maps},
        callers={entry.token_sha256: entry for entry in callers},
        kinds={entry.name: entry for entry in kinds},
    )


def _build_shard_map(spec: ShardMapSpec) -> ShardMap:
    shards = {
        shard['name']: tuple(
            _build_replica(entry) for entry in shard['replicas']
        )
        for shard in spec['shards']
    }
    return ShardMap(version=spec['version'], shards=shards)


def _build_replica(spec: ReplicaSpec) -> Replica:
    return Replica(
        name=spec['name'],
        address=spec['address'],
        zone=spec['zone'],
        slots=spec.get('slots', DEFAULT_SLOTS),
        connections=spec.get('connections', DEFAULT_CONNECTIONS),
    )


def _build_caller(spec: CallerSpec) -> Caller:
    return Caller(
        name=spec['name'],
        token_sha256=spec['token_sha256'],
        rate=spec.get('rate', DEFAULT_RATE_PER_SECOND),
    )


def _build_kind(spec: KindSpec) -> RequestKind:
    return RequestKind(
        name=spec['name'],
        worth=spec.get('worth', DEFAULT_WORTH),
        deadline=spec.get('deadline_ms', DEFAULT_DEADLINE_MS) / MS_PER_SECOND,
        is_repeatable=spec.get('repeatable', True),
        max_in_flight=spec.get('max_in_flight', DEFAULT_MAX_IN_FLIGHT),
    )
