"""The composition root of a gateway: builds its parts and wires them."""

import asyncio
import signal
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Final, NamedTuple

from crocusroad_core.discovery import ReplicaTable
from crocusroad_core.fronts import Replica
from crocusroad_core.repeats import RepeatBounds, RepeatBudget
from crocusroad_core.routes import AdoptedTable, RequestLimits, WeightedTurns
from crocusroad_core.routing import Router
from crocusroad_core.sources import Member, SourceRing
from crocusroad_node.exchanges import LinkPool
from crocusroad_node.gateway._beliefs import ConfigBelief, ReplicaBelief
from crocusroad_node.gateway._connection import Begin, CallerConnection
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._fleet import Fleet, FleetKeyValue
from crocusroad_node.gateway._follow import Followed, Follower
from crocusroad_node.gateway._gateway import Gateway, Parts
from crocusroad_node.gateway._policies import Policies
from crocusroad_node.gateway._query import Reach
from crocusroad_node.gateway._relay_desk import RelayDesk
from crocusroad_node.gateway._reply import Reply, refuse
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.gateway._sourced import SourcedStore
from crocusroad_node.node_life import NodeLife

# The balancer notices an instance that is not ready after two questions, one
# a second; connections that it opened meanwhile are served.
BALANCER_SECONDS: Final = 2.3
# Kept of the grace for the last answers and the exit, in seconds.
EXIT_SECONDS: Final = 0.6
# Changes of registrations are gathered this long, in seconds.
GATHER_SECONDS: Final = 0.8
TICK_SECONDS: Final = 0.05
# A handshake, and a round trip between zones, before a request can be sent.
OPENING_SECONDS: Final = 0.012
BACKLOG: Final = 1024  # connections that wait to be accepted


class GatewaySettings(NamedTuple):
    """What a gateway is told at its start."""

    instance: str
    zone: str
    callers_listen: tuple[str, int]
    relay_listen: tuple[str, int]  # where other instances ask this one
    ready_listen: tuple[str, int]
    link_mbps: float  # of this instance's own link
    grace: float  # seconds from SIGTERM to SIGKILL
    repeats: RepeatBounds


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


async def run_gateway(
    cfg: GatewaySettings,
    dialect: Dialect,
    kv: FleetKeyValue,
) -> None:
    """Run a gateway until it is told to stop and has finished."""
    loop = asyncio.get_running_loop()
    random = Random()  # noqa: S311
    life = NodeLife()
    budget = RepeatBudget(cfg.repeats)
    shares = _Shares(budget)
    pools = _Pools(dialect.headers.request_id, shares)
    router = Router(cfg.zone, random.random, pools.opening_cost)
    shares.router = router
    directory = Directory(AdoptedTable(), ReplicaTable(), router, monotonic)
    policies = Policies(router, budget)
    reach = Reach(dialect.headers, router, pools.pool, policies.record)
    turns = WeightedTurns(random.random)
    parts = Parts(dialect, directory, reach, policies, budget, turns)
    gateway = Gateway(parts, monotonic)
    door = Door(directory, life)
    ready_door = Door(directory, life)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, life.drain)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    own = Member(
        cfg.instance,
        cfg.zone,
        '{}:{}'.format(*cfg.relay_listen),
        cfg.link_mbps,
    )
    ring = SourceRing(own)
    desk = RelayDesk()
    sourced = SourcedStore(kv, ring)
    servers = [
        await _listen(cfg.relay_listen, ready_door, desk.begin),
        await _listen(cfg.callers_listen, door, gateway.begin),
        await _listen(
            cfg.ready_listen,
            ready_door,
            _readiness(dialect, directory, life),
        ),
    ]

    def on_members(members: list[Member]) -> None:
        ring.on_members(members)
        shares.on_count(ring.count)

    fleet = Fleet(kv, dialect.instances_prefix, own, on_members)
    tasks = [
        loop.create_task(one)
        for one in (
            _config_follower(sourced, directory, dialect, desk).run(),
            _replica_follower(sourced, directory, dialect, desk, ring).run(),
            fleet.run(),
            _serve_when_known(directory, life),
        )
    ]
    await life.draining.wait()
    await _drain(cfg, gateway, door, fleet)
    for task in tasks:
        task.cancel()
    for server in servers:
        server.close()
    life.finish()


class _Shares:
    """What depends on how many instances there are."""

    def __init__(self, budget: RepeatBudget) -> None:
        self._budget = budget
        self.router: Router | None = None
        self.count = 8  # until the first count

    def on_count(self, count: int) -> None:
        self.count = count
        self._budget.on_instances(count)
        if self.router is not None:
            self.router.on_instances(count, monotonic())


class _Pools:
    """The pool of each replica's address."""

    def __init__(self, id_header: bytes, shares: _Shares) -> None:
        self._id_header = id_header
        self._shares = shares
        self._pools: dict[str, LinkPool] = {}

    def opening_cost(self, replica: Replica) -> float:
        """Return the seconds that a request waits for a connection."""
        pool = self._pools.get(replica.address)
        is_at_hand = pool is not None and pool.has_rested
        return 0 if is_at_hand else OPENING_SECONDS

    def pool(self, replica: Replica) -> LinkPool:
        pool = self._pools.get(replica.address)
        if pool is None:
            limit = replica.connections
            host = (replica.host, replica.port)
            pool = LinkPool(
                host,
                self._id_header,
                lambda: limit // (self._shares.count + 1),
            )
            self._pools[replica.address] = pool
        return pool


def _config_follower(
    kv: Followed,
    directory: Directory,
    dialect: Dialect,
    desk: RelayDesk,
) -> Follower:
    belief = ConfigBelief(directory, dialect)
    return Follower(
        kv,
        dialect.config_key,
        belief.take_listing,
        belief.take_changes,
        lambda is_reached: None,
        desk=desk,
    )


def _replica_follower(
    kv: Followed,
    directory: Directory,
    dialect: Dialect,
    desk: RelayDesk,
    ring: SourceRing,
) -> Follower:
    belief = ReplicaBelief(directory, dialect)
    return Follower(
        kv,
        dialect.replicas_prefix,
        belief.take_listing,
        belief.take_changes,
        belief.take_reach,
        rest=lambda: GATHER_SECONDS if ring.is_reader else 0,
        desk=desk,
    )


async def _listen(
    address: tuple[str, int],
    door: Door,
    begin: Begin,
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(door, begin),
        *address,
        backlog=BACKLOG,
        reuse_address=True,
    )


def _readiness(
    dialect: Dialect,
    directory: Directory,
    life: NodeLife,
) -> Begin:
    def begin(
        req: CallerRequest,
        answer: Callable[[Reply], None],
    ) -> Callable[[], None]:
        if req.path != dialect.ready_path:
            answer(refuse(404, 'no such page'))
        elif life.is_ready and directory.is_known:
            answer(Reply(200))
        else:
            answer(refuse(503, life.state))
        return lambda: None

    return begin


async def _serve_when_known(directory: Directory, life: NodeLife) -> None:
    while not directory.is_known:
        await asyncio.sleep(TICK_SECONDS)
    life.serve()


async def _drain(
    cfg: GatewaySettings,
    gateway: Gateway,
    door: Door,
    fleet: Fleet,
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    leaving = loop.create_task(fleet.leave())
    await asyncio.sleep(BALANCER_SECONDS)
    last = began + cfg.grace - EXIT_SECONDS
    while loop.time() < last:
        for connection in list(door.connections):
            connection.close_if_idle()
        if not gateway.in_flight and not door.connections:
            break
        await asyncio.sleep(TICK_SECONDS)
    leaving.cancel()
