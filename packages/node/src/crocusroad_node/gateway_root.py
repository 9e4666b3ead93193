"""The composition root of a gateway: builds its parts and wires them."""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from typing import Final, NamedTuple

from returns.result import Result

from crocusroad_core.retry_budget import RetryBounds
from crocusroad_core.routes import RequestLimits
from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.gateway._components import (
    build_components,
    peer_request_handler,
)
from crocusroad_node.gateway._connection import CallerConnection, RequestHandler
from crocusroad_node.gateway._delegation_messages import DELEGATED_HEADER
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._directory_updaters import (
    ConfigUpdater,
    ReplicaUpdater,
)
from crocusroad_node.gateway._drain import drain_connections
from crocusroad_node.gateway._endpoints import (
    metrics_handler,
    readiness_handler,
)
from crocusroad_node.gateway._fleet_membership import (
    FleetKeyValue,
    FleetMembership,
)
from crocusroad_node.gateway._prefix_watcher import PrefixWatcher, WatchHandlers
from crocusroad_node.gateway._relay_server import RelayServer
from crocusroad_node.gateway._relayed_store import RelayedStore
from crocusroad_node.gateway._reload import SettingsReloader
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import log_event
from crocusroad_node.node_lifecycle import NodeLifecycle

_logger = logging.getLogger(__name__)

# Changes of registrations are gathered this long, in seconds: a reader is
# woken once for many, well within the bound on leaving replicas.
GATHER_SECONDS: Final = 0.5
TICK_SECONDS: Final = 0.05
BACKLOG: Final = 1024  # connections that wait to be accepted

Address = tuple[str, int]


class GatewaySettings(NamedTuple):
    """What a gateway is told at its start."""

    instance: str
    zone: str
    callers_listen: Address
    ready_listen: Address
    relay_listen: Address  # where other instances ask this one
    metrics_listen: Address
    link_mbps: float  # of this instance's own link
    cores: float  # it computes as fast as so many cores; 0: not known
    grace: float  # seconds from SIGTERM to SIGKILL
    repeats: RetryBounds


class PlatformAdapters(NamedTuple):
    """What a gateway is given of the platform that it runs on."""

    dialect: Dialect
    kv: FleetKeyValue
    read_settings: Callable[
        [], Result[GatewaySettings, str]
    ]  # the settings, anew


def _hears_nothing(req: CallerRequest) -> bool:
    return False


class Listener:
    """What the callers' connections share."""

    def __init__(
        self,
        directory: Directory,
        life: NodeLifecycle,
        acknowledged_header: bytes = b'',
        handle_notification: Callable[[CallerRequest], bool] = _hears_nothing,
    ) -> None:
        self.connections: set[CallerConnection] = set()
        self.acknowledged_header = acknowledged_header  # header; b'': none
        self.handle_notification = handle_notification
        self._directory = directory
        self._life = life

    @property
    def limits(self) -> RequestLimits:
        """Return what callers may send, as is in force now."""
        table = self._directory.table
        return RequestLimits() if table is None else table.limits

    @property
    def is_draining(self) -> bool:
        """Tell whether connections close after their answer."""
        return self._life.draining.is_set()


async def run_gateway(cfg: GatewaySettings, adapters: PlatformAdapters) -> None:
    """Run a gateway until it is told to stop and has finished."""
    dialect = adapters.dialect
    life = NodeLifecycle()
    own = _own(cfg)
    built = build_components(dialect, own, cfg.repeats, lambda: life.is_ready)
    directory = built.directory
    ring = SourceSelector(own)
    desk = RelayServer()
    door = Listener(directory, life)

    def on_members(members: list[FleetMember]) -> None:
        ring.on_members(members)
        built.on_members(members)

    reloader = SettingsReloader(
        cfg,
        adapters.read_settings,
        lambda changed: built.on_bounds(changed.repeats),
    )
    _listen_to_signals(life, reloader)
    own_door = Listener(directory, life)
    relay_door = Listener(
        directory, life, DELEGATED_HEADER, built.delegated.handle_notification
    )
    begin_relayed = peer_request_handler(built.delegated, desk.begin)
    servers = await _listen_all(
        cfg,
        (
            (cfg.callers_listen, door, built.gateway.handle),
            (cfg.relay_listen, relay_door, begin_relayed),
            (cfg.metrics_listen, own_door, metrics_handler()),
            (cfg.ready_listen, own_door, _ready(dialect, directory, life)),
        ),
    )
    fleet = FleetMembership(
        adapters.kv, dialect.instances_prefix, own, on_members
    )
    sourced = RelayedStore(adapters.kv, ring)
    followers = _followers(sourced, desk, directory, dialect)
    jobs = (*followers, fleet, reloader, built.warmer)
    tasks = [asyncio.create_task(one.run()) for one in jobs]
    tasks.append(asyncio.create_task(_serve_when_known(directory, life)))
    await life.draining.wait()
    goodbye = asyncio.create_task(fleet.leave())
    await drain_connections(
        door, lambda: built.gateway.in_flight, reloader.cfg.grace
    )
    for task in (*tasks, goodbye):
        task.cancel()
    for server in servers:
        server.close()
    life.finish()
    log_event(_logger, 'stop', unanswered=built.gateway.in_flight)


def _own(cfg: GatewaySettings) -> FleetMember:
    home = '{}:{}'.format(*cfg.relay_listen)
    return FleetMember(cfg.instance, cfg.zone, home, cfg.link_mbps, cfg.cores)


def _ready(
    dialect: Dialect, directory: Directory, life: NodeLifecycle
) -> RequestHandler:
    def state() -> str:
        if not life.is_ready:
            return life.state
        return '' if directory.is_populated else 'nothing is known yet'

    return readiness_handler(dialect.ready_path, state)


def _followers(
    sourced: RelayedStore,
    desk: RelayServer,
    directory: Directory,
    dialect: Dialect,
) -> tuple[PrefixWatcher, PrefixWatcher]:
    routes = ConfigUpdater(directory, dialect)
    replicas = ReplicaUpdater(directory, dialect)

    def is_direct() -> bool:
        return sourced.is_direct(dialect.replicas_prefix)

    return (
        PrefixWatcher(
            sourced,
            dialect.config_key,
            WatchHandlers(routes.take_listing, routes.take_changes),
            desk,
        ),
        PrefixWatcher(
            sourced,
            dialect.replicas_prefix,
            WatchHandlers(
                replicas.take_listing,
                replicas.take_changes,
                replicas.take_reach,
            ),
            desk,
            rest=lambda: GATHER_SECONDS if is_direct() else 0,
        ),
    )


async def _listen_all(
    cfg: GatewaySettings,
    begins: tuple[tuple[Address, Listener, RequestHandler], ...],
) -> list[asyncio.Server]:
    log_event(_logger, 'start', zone=cfg.zone, listen=cfg.callers_listen)
    return await asyncio.gather(*(_listen(*one) for one in begins))


def _listen_to_signals(
    life: NodeLifecycle,
    reloader: SettingsReloader[GatewaySettings],
) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, life.drain)
    loop.add_signal_handler(signal.SIGHUP, reloader.signalled.set)


async def _listen(
    address: Address, door: Listener, begin: RequestHandler
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(door, begin),
        *address,
        backlog=BACKLOG,
        reuse_address=True,
    )


async def _serve_when_known(directory: Directory, life: NodeLifecycle) -> None:
    while not directory.is_populated:  # noqa: ASYNC110
        await asyncio.sleep(TICK_SECONDS)
    # What is there now stays: a full collection, which takes tens of
    # milliseconds on a slow instance, need not look at it again.
    gc.collect()
    gc.freeze()
    life.serve()
