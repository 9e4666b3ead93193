"""The composition root of a gateway: builds its parts and wires them."""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Final, NamedTuple

from returns.result import Result

from crocusroad_core.discovery import ReplicaTable
from crocusroad_core.repeats import RepeatBounds, RepeatBudget
from crocusroad_core.routes import AdoptedTable, RequestLimits, WeightedTurns
from crocusroad_core.routing import Router
from crocusroad_core.sources import Member, SourceRing
from crocusroad_node.gateway._beliefs import ConfigBelief, ReplicaBelief
from crocusroad_node.gateway._connection import Begin, CallerConnection
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._fleet import Fleet, FleetKeyValue
from crocusroad_node.gateway._follow import Follower, Told
from crocusroad_node.gateway._gateway import Gateway, Parts
from crocusroad_node.gateway._leaving import leave
from crocusroad_node.gateway._pages import metrics_page, ready_page
from crocusroad_node.gateway._policies import Policies
from crocusroad_node.gateway._pools import Pools
from crocusroad_node.gateway._query import Reach
from crocusroad_node.gateway._relay_desk import RelayDesk
from crocusroad_node.gateway._reload import Reloader
from crocusroad_node.gateway._sourced import SourcedStore
from crocusroad_node.gateway._warmer import Warmer
from crocusroad_node.logs import note
from crocusroad_node.node_life import NodeLife

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
    grace: float  # seconds from SIGTERM to SIGKILL
    repeats: RepeatBounds


class Outside(NamedTuple):
    """What a gateway is given of the platform that it runs on."""

    dialect: Dialect
    kv: FleetKeyValue
    reread: Callable[[], Result[GatewaySettings, str]]  # the settings, anew


class Door:
    """What the callers' connections share."""

    def __init__(self, directory: Directory, life: NodeLife) -> None:
        self.connections: set[CallerConnection] = set()
        self._directory = directory
        self._life = life

    @property
    def limits(self) -> RequestLimits:
        """Return what callers may send, as is in force now."""
        table = self._directory.table
        return RequestLimits() if table is None else table.limits

    @property
    def is_leaving(self) -> bool:
        """Tell whether connections close after their answer."""
        return self._life.draining.is_set()


async def run_gateway(cfg: GatewaySettings, outside: Outside) -> None:
    """Run a gateway until it is told to stop and has finished."""
    dialect = outside.dialect
    random = Random()  # noqa: S311
    life = NodeLife()
    budget = RepeatBudget(cfg.repeats)
    pools = Pools(dialect.headers.request_id, cfg.zone)
    router = Router(cfg.zone, random.random, pools.reach_cost)
    directory = Directory(
        AdoptedTable(),
        ReplicaTable(),
        router,
        pools.retain,
        monotonic,
    )
    policies = Policies(router, budget)
    reach = Reach(
        dialect.headers,
        router,
        pools.pool,
        policies.record,
        policies.record_hedge,
    )
    turns = WeightedTurns(random.random)
    parts = Parts(dialect, directory, reach, policies, budget, turns)
    gateway = Gateway(parts, monotonic)
    door = Door(directory, life)
    own_door = Door(directory, life)
    relay_home = '{}:{}'.format(*cfg.relay_listen)
    own = Member(cfg.instance, cfg.zone, relay_home, cfg.link_mbps)
    ring = SourceRing(own)
    desk = RelayDesk()
    sourced = SourcedStore(outside.kv, ring)

    def on_members(members: list[Member]) -> None:
        ring.on_members(members)
        budget.on_instances(ring.count)
        pools.on_instances(ring.count)

    def state() -> str:
        if not life.is_ready:
            return life.state
        return '' if directory.is_known else 'nothing is known yet'

    def apply(changed: GatewaySettings) -> None:
        budget.on_bounds(changed.repeats)

    fleet = Fleet(outside.kv, dialect.instances_prefix, own, on_members)
    reloader = Reloader(cfg, outside.reread, apply)
    _listen_to_signals(life, reloader)
    ready = ready_page(dialect.ready_path, state)
    servers = await _listen_all(
        cfg,
        (
            (cfg.callers_listen, door, gateway.begin),
            (cfg.relay_listen, own_door, desk.begin),
            (cfg.metrics_listen, own_door, metrics_page()),
            (cfg.ready_listen, own_door, ready),
        ),
    )
    followers = _followers(sourced, desk, directory, dialect)
    warmer = Warmer(cfg.instance, cfg.zone, directory, pools.pool)
    jobs = [one.run() for one in (*followers, fleet, reloader, warmer)]
    tasks = [asyncio.create_task(one) for one in jobs]
    tasks.append(asyncio.create_task(_serve_when_known(directory, life)))
    await life.draining.wait()
    goodbye = asyncio.create_task(fleet.leave())
    await leave(door, lambda: gateway.in_flight, reloader.cfg.grace)
    for task in (*tasks, goodbye):
        task.cancel()
    for server in servers:
        server.close()
    _finish(life, gateway)


def _finish(life: NodeLife, gateway: Gateway) -> None:
    life.finish()
    note(_logger, 'stop', unanswered=gateway.in_flight)


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
    begins: tuple[tuple[Address, Door, Begin], ...],
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


async def _listen(address: Address, door: Door, begin: Begin) -> asyncio.Server:
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
