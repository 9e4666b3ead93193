"""Validated settings of a node."""

from typing import NamedTuple


class Settings(NamedTuple):
    """Settings of a node; each field is named `section_key`."""

    instance_name: str
    instance_zone: str
    instance_cluster: str
    callers_listen: str  # host:port
    operators_listen: str  # host:port
    operators_token_sha256: str  # hex digest; empty: all operators are refused
    peers_listen: str  # host:port
    peers_keys: str  # hex, comma-separated; secret; empty: no peers
    platform_kv: str  # URL
    platform_instances: str  # URL
    limits_extra_load: float  # share of the sub-requests
    limits_balancer_lag_seconds: float
    limits_drain_seconds: float
    routing_pick: str  # 'adaptive', 'random' or 'round-robin'
    routing_hedge: str  # 'adaptive', 'fixed' or 'off'
    logs_format: str  # 'json' or 'text'
    logs_level: str
