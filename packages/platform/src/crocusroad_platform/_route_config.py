"""Decoding of the operator's route configuration in the store."""

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
from crocusroad_wire import DecodeError, make_json_decoder

CONFIG_KEY: Final = 'op/config'
IDEMPOTENT: Final = 'idempotent'
MS_PER_SECOND: Final = 1000


class _WeightedEntry(msgspec.Struct):
    service: str = msgspec.field(name='Service')
    weight: float = msgspec.field(name='Weight')


class _RouteEntry(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    host: str = msgspec.field(name='Host')
    prefix: str = msgspec.field(name='Prefix')
    # Whether a request may be repeated, not what it requests.
    idempotency: str = msgspec.field(name='Type')
    timeout_ms: float = msgspec.field(name='TimeoutMs')
    slo_ms: float = msgspec.field(name='SloMs')
    priority: int = msgspec.field(name='Priority', default=0)
    # The number of replicas that one client attempt may be sent to.
    max_attempts: int = msgspec.field(name='MaxAttempts', default=1)
    service: str | None = msgspec.field(name='Service', default=None)
    weighted_services: list[_WeightedEntry] = msgspec.field(
        name='WeightedServices',
        default_factory=list,
    )
    shards: list[str] = msgspec.field(
        name='FanoutServices',
        default_factory=list,
    )
    top_k: int = msgspec.field(name='TopK', default=0)
    min_shard_ratio: float = msgspec.field(name='MinShardRatio', default=0)


class _ServiceEntry(msgspec.Struct):
    name: str = msgspec.field(name='Name')
    health_path: str = msgspec.field(name='HealthPath', default='')
    # The limit on connections over all callers together.
    connections: int = msgspec.field(name='MaxConns', default=1)


class _LimitsEntry(msgspec.Struct):
    header_bytes: int = msgspec.field(name='MaxHeaderBytes')
    body_bytes: int = msgspec.field(name='MaxBodyBytes')
    header_ms: float = msgspec.field(name='HeaderTimeoutMs')
    idle_ms: float = msgspec.field(name='IdleTimeoutMs')


class _ConfigDocument(msgspec.Struct):
    version: int = msgspec.field(name='Version')
    routes: list[_RouteEntry] = msgspec.field(name='Routes')
    services: list[_ServiceEntry] = msgspec.field(name='Services')
    limits: _LimitsEntry | None = msgspec.field(name='Limits', default=None)


_decode_document = make_json_decoder(_ConfigDocument)


def decode_config(text: str) -> Result[RouteTable, str]:
    """Return the route table of a configuration, or its error message."""
    try:
        document = _decode_document(text)
    except DecodeError as exc:
        return Failure(str(exc))
    services = {entry.name: _to_service(entry) for entry in document.services}
    routes = [_to_route(entry) for entry in document.routes]
    limits = _to_limits(document.limits)
    return Success(RouteTable(document.version, routes, services, limits))


def _to_service(raw: _ServiceEntry) -> Service:
    return Service(raw.name, raw.health_path, raw.connections)


def _to_route(raw: _RouteEntry) -> Route:
    services = tuple(
        WeightedService(*_weight_fields(entry))
        for entry in raw.weighted_services
    )
    if raw.service is not None:
        services = (WeightedService(raw.service, 1),)
    return Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        is_repeatable=raw.idempotency == IDEMPOTENT,
        timeout_seconds=raw.timeout_ms / MS_PER_SECOND,
        objective_seconds=raw.slo_ms / MS_PER_SECOND,
        priority=raw.priority,
        max_replicas=raw.max_attempts,
        services=services,
        shards=tuple(raw.shards),
        top_k=raw.top_k,
        min_shard_ratio=raw.min_shard_ratio,
    )


def _weight_fields(raw: _WeightedEntry) -> tuple[str, float]:
    return raw.service, raw.weight


def _to_limits(raw: _LimitsEntry | None) -> RequestLimits:
    if raw is None:
        return RequestLimits()
    return RequestLimits(
        header_bytes=raw.header_bytes,
        body_bytes=raw.body_bytes,
        header_seconds=raw.header_ms / MS_PER_SECOND,
        idle_seconds=raw.idle_ms / MS_PER_SECOND,
    )
