"""The operator's configuration as it lies in the store."""

from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from crocusroad_core.routes import (
    RequestLimits,
    Route,
    RouteTable,
    Service,
    WeightedService,
)

CONFIG_KEY: Final = 'op/config'
REPEATABLE: Final = 'idempotent'
MS_PER_SECOND: Final = 1000


class _Weighted(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    weight: float = msgspec.field(name='Weight')


class _Route(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    host: str = msgspec.field(name='Host')
    prefix: str = msgspec.field(name='Prefix')
    # Says whether a request may be repeated, not what it asks for.
    type: str = msgspec.field(name='Type')
    timeout_ms: float = msgspec.field(name='TimeoutMs')
    slo_ms: float = msgspec.field(name='SloMs')
    priority: int = msgspec.field(name='Priority', default=0)
    # Counts the replicas that one attempt of a client may be sent to.
    max_attempts: int = msgspec.field(name='MaxAttempts', default=1)
    service: str | None = msgspec.field(name='Service', default=None)
    weighted: list[_Weighted] = msgspec.field(
        name='WeightedServices',
        default_factory=list,
    )
    shards: list[str] = msgspec.field(
        name='FanoutServices',
        default_factory=list,
    )
    top: int = msgspec.field(name='TopK', default=0)
    least: float = msgspec.field(name='MinShardRatio', default=0)


class _Service(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    health: str = msgspec.field(name='HealthPath', default='')
    # Counts the connections of all callers together.
    connections: int = msgspec.field(name='MaxConns', default=1)


class _Limits(msgspec.Struct):
    header_bytes: int = msgspec.field(name='MaxHeaderBytes')
    body_bytes: int = msgspec.field(name='MaxBodyBytes')
    header_ms: float = msgspec.field(name='HeaderTimeoutMs')
    idle_ms: float = msgspec.field(name='IdleTimeoutMs')


class _Config(msgspec.Struct):
    version: int = msgspec.field(name='Version')
    routes: list[_Route] = msgspec.field(name='Routes')
    services: list[_Service] = msgspec.field(name='Services')
    limits: _Limits | None = msgspec.field(name='Limits', default=None)


_decoder = msgspec.json.Decoder(_Config)


def decode_config(text: str) -> Result[RouteTable, str]:
    """Return the routes of a configuration, or what is wrong with it."""
    try:
        config = _decoder.decode(text)
    except msgspec.DecodeError as exc:
        return Failure(str(exc))
    services = {one.name: _service(one) for one in config.services}
    routes = [_route(one) for one in config.routes]
    limits = _limits(config.limits)
    return Success(RouteTable(config.version, routes, services, limits))


def _service(raw: _Service) -> Service:
    return Service(raw.name, raw.health, raw.connections)


def _route(raw: _Route) -> Route:
    services = tuple(WeightedService(*_pair(one)) for one in raw.weighted)
    if raw.service is not None:
        services = (WeightedService(raw.service, 1),)
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        is_repeatable=raw.type == REPEATABLE,
        timeout_seconds=raw.timeout_ms / MS_PER_SECOND,
        objective_seconds=raw.slo_ms / MS_PER_SECOND,
        priority=raw.priority,
        max_replicas=raw.max_attempts,
        services=services,
        shards=tuple(raw.shards),
        top_k=raw.top,
        min_shard_ratio=raw.least,
    )


def _pair(raw: _Weighted) -> tuple[str, float]:
    return raw.service, raw.weight


def _limits(raw: _Limits | None) -> RequestLimits:
    if raw is None:
        return RequestLimits()
    return RequestLimits(
        header_bytes=raw.header_bytes,
        body_bytes=raw.body_bytes,
        header_seconds=raw.header_ms / MS_PER_SECOND,
        idle_seconds=raw.idle_ms / MS_PER_SECOND,
    )
