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
from crocusroad_node.gateway._components import assemble, relayed
from crocusroad_node.gateway._connection import CallerConnection, RequestHandler
from crocusroad_node.gateway._delegation_messages import DELEGATED_HEADER
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._directory_updaters import (
    ConfigBelief,
    ReplicaBelief,
)
from crocusroad_node.gateway._drain import leave
from crocusroad_node.gateway._endpoints import metrics_page, ready_page
from crocusroad_node.gateway._fleet_membership import Fleet, FleetKeyValue
from crocusroad_node.gateway._prefix_watcher import Follower, Told
from crocusroad_node.gateway._relay_server import RelayDesk
from crocusroad_node.gateway._relayed_store import SourcedStore
from crocusroad_node.gateway._reload import Reloader
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import note
from crocusroad_node.node_lifecycle import NodeLife

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


class Outside(NamedTuple):
    """What a gateway is given of the platform that it runs on."""

    dialect: Dialect
    kv: FleetKeyValue
    reread: Callable[[], Result[GatewaySettings, str]]  # the settings, anew


def _hears_nothing(req: CallerRequest) -> bool:
    return False


class Door:
    """What the callers' connections share."""

    def __init__(
        self,
        directory: Directory,
        life: NodeLife,
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


async def run_gateway(cfg: GatewaySettings, outside: Outside) -> None:
    """Run a gateway until it is told to stop and has finished."""
    dialect = outside.dialect
    life = NodeLife()
    own = _own(cfg)
    built = assemble(dialect, own, cfg.repeats, lambda: life.is_ready)
    directory = built.directory
    ring = SourceSelector(own)
    desk = RelayDesk()
    door = Door(directory, life)

    def on_members(members: list[FleetMember]) -> None:
        ring.on_members(members)
        built.on_members(members)

    reloader = Reloader(
        cfg,
        outside.reread,
        lambda changed: built.on_bounds(changed.repeats),
    )
    _listen_to_signals(life, reloader)
    own_door = Door(directory, life)
    relay_door = Door(
        directory, life, DELEGATED_HEADER, built.delegated.handle_notification
    )
    begin_relayed = relayed(built.delegated, desk.begin)
    servers = await _listen_all(
        cfg,
        (
            (cfg.callers_listen, door, built.gateway.handle),
            (cfg.relay_listen, relay_door, begin_relayed),
            (cfg.metrics_listen, own_door, metrics_page()),
            (cfg.ready_listen, own_door, _ready(dialect, directory, life)),
        ),
    )
    fleet = Fleet(outside.kv, dialect.instances_prefix, own, on_members)
    sourced = SourcedStore(outside.kv, ring)
    followers = _followers(sourced, desk, directory, dialect)
    jobs = (*followers, fleet, reloader, built.warmer)
    tasks = [asyncio.create_task(one.run()) for one in jobs]
    tasks.append(asyncio.create_task(_serve_when_known(directory, life)))
    await life.draining.wait()
    goodbye = asyncio.create_task(fleet.leave())
    await leave(door, lambda: built.gateway.in_flight, reloader.cfg.grace)
    for task in (*tasks, goodbye):
        task.cancel()
    for server in servers:
        server.close()
    life.finish()
    note(_logger, 'stop', unanswered=built.gateway.in_flight)


def _own(cfg: GatewaySettings) -> FleetMember:
    home = '{}:{}'.format(*cfg.relay_listen)
    return FleetMember(cfg.instance, cfg.zone, home, cfg.link_mbps, cfg.cores)


def _ready(
    dialect: Dialect, directory: Directory, life: NodeLife
) -> RequestHandler:
    def state() -> str:
        if not life.is_ready:
            return life.state
        return '' if directory.is_known else 'nothing is known yet'

    return ready_page(dialect.ready_path, state)


def _followers(
    sourced: SourcedStore,
    desk: RelayDesk,
    directory: Directory,
    dialect: Dialect,
) -> tuple[Follower, Follower]:
    routes = ConfigBelief(directory, dialect)
    replicas = ReplicaBelief(directory, dialect)

    def is_direct() -> bool:
        return sourced.is_direct(dialect.replicas_prefix)

    return (
        Follower(
            sourced,
            dialect.config_key,
            Told(routes.take_listing, routes.take_changes),
            desk,
        ),
        Follower(
            sourced,
            dialect.replicas_prefix,
            Told(
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
    begins: tuple[tuple[Address, Door, RequestHandler], ...],
) -> list[asyncio.Server]:
    note(_logger, 'start', zone=cfg.zone, listen=cfg.callers_listen)
    return await asyncio.gather(*(_listen(*one) for one in begins))


def _listen_to_signals(
    life: NodeLife,
    reloader: Reloader[GatewaySettings],
) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, life.drain)
    loop.add_signal_handler(signal.SIGHUP, reloader.signalled.set)


async def _listen(
    address: Address, door: Door, begin: RequestHandler
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(door, begin),
        *address,
        backlog=BACKLOG,
        reuse_address=True,
    )


async def _serve_when_known(directory: Directory, life: NodeLife) -> None:
    while not directory.is_known:  # noqa: ASYNC110
        await asyncio.sleep(TICK_SECONDS)
    # What is there now stays: a full collection, which takes tens of
    # milliseconds on a slow instance, need not look at it again.
    gc.collect()
    gc.freeze()
    life.serve()
