"""The composition root: builds the parts of a node and wires them."""

import asyncio
import signal
from random import Random

from crocusroad_core.admission import ConcurrencyLimit, Door, LiveCount
from crocusroad_core.configs import Feed, FrontBook
from crocusroad_core.fronts import Front, Replica
from crocusroad_core.gather import Policy
from crocusroad_node.callers import build_caller_app
from crocusroad_node.configs import FrontStore, Surroundings, watch_fronts
from crocusroad_node.life import NodeLife
from crocusroad_node.operators import OperatorDesk, build_operator_app
from crocusroad_node.platform import HttpKeyValue
from crocusroad_node.serving import SearchService, watch_lag
from crocusroad_node.settings import Settings
from crocusroad_node.upstreams import UpstreamClient
from crocusroad_node.web import serve_app
from crocusroad_wire import NodeStatus

LINKS_PER_REPLICA = 3
HEDGE_SECONDS = 0.05
BALANCER_LAG_SECONDS = 1.0


async def run_node(cfg: Settings) -> None:
    """Run a node until it is told to stop and has finished."""
    life = NodeLife()
    stop = asyncio.Event()
    kv = HttpKeyValue(cfg.platform_kv)
    book = FrontBook()
    upstreams = UpstreamClient(LINKS_PER_REPLICA, _agent(cfg))
    door = Door(ConcurrencyLimit(), LiveCount())
    policy_for = _policy_maker(Random())  # noqa: S311
    service = SearchService(book, upstreams, policy_for, door=door)
    callers = build_caller_app(service, life)
    desk = OperatorDesk(
        store=FrontStore(kv),
        book=book,
        positions=lambda: {cfg.instance_name: book.position},
        status=lambda: _status(cfg, life, book),
    )
    operators = build_operator_app(desk, cfg.operators_token_sha256)
    _listen_to_signals(life)
    watcher = asyncio.create_task(
        watch_fronts(kv, Feed(book), _surroundings(cfg, life)),
    )
    lag = asyncio.create_task(watch_lag(door))
    async with asyncio.TaskGroup() as group:
        group.create_task(serve_app(callers, cfg.callers_listen, stop))
        group.create_task(serve_app(operators, cfg.operators_listen, stop))
        group.create_task(_drain(life, stop))
    watcher.cancel()
    lag.cancel()
    await upstreams.close()
    life.finish()


def _status(cfg: Settings, life: NodeLife, book: FrontBook) -> NodeStatus:
    return NodeStatus(
        instance=cfg.instance_name,
        zone=cfg.instance_zone,
        state=life.state,
        position=book.position,
        fronts={name: book.revision(name) for name in book.names},
        peers=[],
    )


def _agent(cfg: Settings) -> str:
    return f'crocusroad ({cfg.instance_name}; zone={cfg.instance_zone})'


def _surroundings(cfg: Settings, life: NodeLife) -> Surroundings:
    async def pull() -> bool:
        return False

    return Surroundings(
        own_name=cfg.instance_name,
        members=lambda: frozenset((cfg.instance_name,)),
        pull=pull,
        on_synced=life.serve,
        rng=Random(),  # noqa: S311
    )


def _listen_to_signals(life: NodeLife) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, life.drain)


async def _drain(life: NodeLife, stop: asyncio.Event) -> None:
    await life.draining.wait()
    await asyncio.sleep(BALANCER_LAG_SECONDS)
    stop.set()


def _policy_maker(rng: Random):  # type: ignore[no-untyped-def]
    def pick(
        shard: str,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        return rng.choice(candidates)

    policy = Policy(
        pick,
        hedge_delay=lambda shard, now: HEDGE_SECONDS,
        spend=lambda now: True,
    )

    def policy_for(front: Front) -> Policy:
        return policy

    return policy_for
