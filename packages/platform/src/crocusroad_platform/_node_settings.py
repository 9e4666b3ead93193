"""The settings file that the platform gives each process."""

import os
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
import yaml

from crocusroad_core.retry_budget import RetryBounds

SETTINGS_VARIABLE: Final = 'CROCUSROAD_CONFIG'
MS_PER_SECOND: Final = 1000


class SettingsError(ValueError):
    """The settings file cannot be used; the message names the fault."""


class _Listen(msgspec.Struct):
    front: str = msgspec.field(name='Front')
    ready: str = msgspec.field(name='Ready')


class _Bounds(msgspec.Struct):
    drain_ms: float = msgspec.field(name='DrainMs')
    grace_s: float = msgspec.field(name='GraceS')
    config_ms: float = msgspec.field(name='ConfigApplyMs')
    ratio: float = msgspec.field(name='RetryBudgetRatio')
    window_s: float = msgspec.field(name='RetryWindowS')
    slack: float = msgspec.field(name='RetrySlack')


class _Store(msgspec.Struct):
    address: str = msgspec.field(name='Address')
    lease_ms: float = msgspec.field(name='MinTtlMs', default=1000)


class _Machine(msgspec.Struct):
    link_mbps: float = msgspec.field(name='LinkMbps', default=0)
    cpu_share: float = msgspec.field(name='CpuShare', default=0)  # of the time
    # Not a number of cores: how many times as fast as one the processor is.
    speed: float = msgspec.field(name='Cores', default=1)


class _File(msgspec.Struct):
    node: str = msgspec.field(name='NodeName')
    ip: str = msgspec.field(name='Ip')
    zone: str = msgspec.field(name='Zone')
    listen: _Listen = msgspec.field(name='Listen')
    ports: tuple[int, int] = msgspec.field(name='PortRange')
    machine: _Machine = msgspec.field(name='Limits')
    bounds: _Bounds = msgspec.field(name='Bounds')
    platform: _Store


class NodeSettings(NamedTuple):
    """What the platform tells a process of itself and its bounds."""

    instance: str
    ip: str
    zone: str
    callers_listen: tuple[str, int]
    ready_listen: tuple[str, int]
    free_ports: tuple[int, int]  # first and last, for the instances' own use
    link_mbps: float  # of the machine's own link
    cores: float  # it computes as fast as so many cores; 0: not known
    store: tuple[str, int]
    least_lease: float  # seconds
    drain: float  # seconds until a leaving replica gets nothing more
    grace: float  # seconds from SIGTERM to SIGKILL
    apply: float  # seconds until a configuration has to be in force
    repeats: RetryBounds


def settings_path() -> Path:
    """Return the path of the settings file; raise SettingsError if unset."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'{SETTINGS_VARIABLE} is not set: name the file')
    return Path(path)


def read_settings(path: Path) -> NodeSettings:
    """Read a settings file.

    Raises:
        SettingsError: The file is missing, or a field is missing or odd.
    """
    try:
        raw = yaml.load(path.read_bytes(), Loader=_LOADER)  # type: ignore[no-untyped-call]  # noqa: S506
        return _settings(msgspec.convert(raw, _File))
    except (OSError, ValueError, yaml.YAMLError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc


def _settings(file: _File) -> NodeSettings:
    bounds = file.bounds
    return NodeSettings(
        instance=file.node,
        ip=file.ip,
        zone=file.zone,
        callers_listen=parse_address(file.listen.front),
        ready_listen=parse_address(file.listen.ready),
        free_ports=file.ports,
        link_mbps=file.machine.link_mbps,
        cores=file.machine.cpu_share * file.machine.speed,
        store=parse_address(file.platform.address),
        least_lease=file.platform.lease_ms / MS_PER_SECOND,
        drain=bounds.drain_ms / MS_PER_SECOND,
        grace=bounds.grace_s,
        apply=bounds.config_ms / MS_PER_SECOND,
        repeats=RetryBounds(bounds.ratio, bounds.slack, bounds.window_s),
    )


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `host:port`; raise ValueError if it is odd."""
    host, colon, port = text.rpartition(':')
    if not colon or not host or not port.isdigit():
        raise ValueError(f'not an address of the form host:port: {text!r}')
    return host, int(port)


_LOADER: Any = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
