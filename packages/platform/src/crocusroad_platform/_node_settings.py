"""Settings file that the platform gives each process."""

import os
from importlib import import_module
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from crocusroad_core.links import parse_address
from crocusroad_core.retry_budget import RetryBounds
from crocusroad_wire import DecodeError, decode_json

SETTINGS_VARIABLE: Final = 'CROCUSROAD_CONFIG'
MS_PER_SECOND: Final = 1000


class SettingsError(ValueError):
    """Raised when the settings file cannot be used; names the fault."""


class _ListenAddresses(msgspec.Struct):
    front: str = msgspec.field(name='Front')
    ready: str = msgspec.field(name='Ready')


class _Bounds(msgspec.Struct):
    drain_ms: float = msgspec.field(name='DrainMs')
    grace_s: float = msgspec.field(name='GraceS')
    config_apply_ms: float = msgspec.field(name='ConfigApplyMs')
    retry_ratio: float = msgspec.field(name='RetryBudgetRatio')
    retry_window_s: float = msgspec.field(name='RetryWindowS')
    retry_slack: float = msgspec.field(name='RetrySlack')


class _StoreSettings(msgspec.Struct):
    address: str = msgspec.field(name='Address')
    min_ttl_ms: float = msgspec.field(name='MinTtlMs', default=1000)


class _Machine(msgspec.Struct):
    link_mbps: float = msgspec.field(name='LinkMbps', default=0)
    cpu_share: float = msgspec.field(name='CpuShare', default=0)  # of CPU time
    # Not a core count: the speed of the whole processor in units of one core.
    relative_speed: float = msgspec.field(name='Cores', default=1)


class _SettingsFile(msgspec.Struct):
    node: str = msgspec.field(name='NodeName')
    ip: str = msgspec.field(name='Ip')
    zone: str = msgspec.field(name='Zone')
    listen: _ListenAddresses = msgspec.field(name='Listen')
    port_range: tuple[int, int] = msgspec.field(name='PortRange')
    machine: _Machine = msgspec.field(name='Limits')
    bounds: _Bounds = msgspec.field(name='Bounds')
    platform: _StoreSettings


class NodeSettings(NamedTuple):
    """Settings that the platform provides to a process."""

    instance: str
    ip: str
    zone: str
    callers_listen: tuple[str, int]
    ready_listen: tuple[str, int]
    port_range: tuple[int, int]  # first and last, for use by instances
    link_mbps: float  # bandwidth of the machine's network link
    cores: float  # computing speed in units of one core; 0: unknown
    store: tuple[str, int]
    min_lease_seconds: float
    drain_seconds: float  # until a leaving replica gets no more requests
    grace_seconds: float  # from SIGTERM to SIGKILL
    config_apply_seconds: float  # until a new configuration must be in force
    retry_bounds: RetryBounds


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'{SETTINGS_VARIABLE} names no settings file')
    return Path(path)


def read_settings(path: Path) -> NodeSettings:
    """Read a settings file in JSON, or else in YAML.

    Raises:
        SettingsError: The file is missing, or a field is missing or invalid.
    """
    try:
        return _settings(
            msgspec.convert(_decode(path.read_bytes()), _SettingsFile)
        )
    except (OSError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc


def _decode(raw: bytes) -> Any:
    """Decode JSON or YAML.

    Raises:
        ValueError: The bytes are neither.
    """
    try:
        return decode_json(object, raw)
    except DecodeError:
        return _decode_yaml(raw)


def _decode_yaml(raw: bytes) -> Any:
    # Imported here: it is slow to import, and the deploy file asks for JSON.
    yaml = import_module('yaml')
    loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
    try:
        return yaml.load(raw, Loader=loader)
    except yaml.YAMLError as exc:
        raise ValueError(f'neither JSON nor YAML: {exc}') from exc


def _settings(file: _SettingsFile) -> NodeSettings:
    bounds = file.bounds
    return NodeSettings(
        instance=file.node,
        ip=file.ip,
        zone=file.zone,
        callers_listen=parse_address(file.listen.front),
        ready_listen=parse_address(file.listen.ready),
        port_range=file.port_range,
        link_mbps=file.machine.link_mbps,
        cores=file.machine.cpu_share * file.machine.relative_speed,
        store=parse_address(file.platform.address),
        min_lease_seconds=file.platform.min_ttl_ms / MS_PER_SECOND,
        drain_seconds=bounds.drain_ms / MS_PER_SECOND,
        grace_seconds=bounds.grace_s,
        config_apply_seconds=bounds.config_apply_ms / MS_PER_SECOND,
        retry_bounds=RetryBounds(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        ),
    )
