"""The composition root: builds the parts of a node and wires them."""

import asyncio
import signal
from random import Random

from crocusroad_core.admission import (
    AdmissionController,
    ConcurrencyLimit,
    LiveInstanceCount,
)
from crocusroad_core.configs import FrontRegistry, FrontSynchronizer
from crocusroad_node.actions_root import build_actions
from crocusroad_node.callers import build_caller_app
from crocusroad_node.configs import FrontStore, watch_fronts
from crocusroad_node.guards_root import (
    build_fleet_crash_guard,
    watch_live_instances,
)
from crocusroad_node.lifecycle import (
    DrainTimeouts,
    NodeLifecycle,
    RequestTracker,
    drain_node,
)
from crocusroad_node.operators import OperatorDesk, build_operator_app
from crocusroad_node.peers import PeerService, build_peers
from crocusroad_node.peers_root import (
    build_surroundings,
    leaver,
    peer_statuses,
    positions_seen,
)
from crocusroad_node.platform import HttpInstances, HttpKeyValue
from crocusroad_node.serving import SearchService, monitor_loop_lag
from crocusroad_node.settings import Settings
from crocusroad_node.upstreams import build_routed_upstreams
from crocusroad_node.web import serve_app
from crocusroad_wire import NodeStatus


async def run_node(cfg: Settings) -> None:
    """Run a node until it is told to stop and has finished."""
    life = NodeLifecycle()
    stop = asyncio.Event()
    kv = HttpKeyValue(cfg.platform_kv)
    book = FrontRegistry()
    peers = build_peers(cfg, book, Random())  # noqa: S311
    live = LiveInstanceCount()
    controller = AdmissionController(ConcurrencyLimit(), live)
    listing = HttpInstances(cfg.platform_instances)
    routed = build_routed_upstreams(cfg, book, listing, live.observe)
    guard = build_fleet_crash_guard(peers)
    service = SearchService(
        book,
        routed.upstreams,
        routed.policy_for,
        versions=routed.versions,
        guard=guard,
        controller=controller,
    )
    actions = build_actions(
        cfg.instance_name,
        book,
        routed,
        kv,
        controller,
        guard,
    )
    callers = build_caller_app(service, actions, life)
    desk = OperatorDesk(
        store=FrontStore(kv),
        book=book,
        positions=lambda: positions_seen(cfg, book, peers),
        status=lambda: _status(cfg, life, book, peers),
    )
    operators = build_operator_app(desk, cfg.operators_token_sha256)
    _listen_to_signals(life)
    trackers = (RequestTracker(life), RequestTracker(life))
    around = build_surroundings(cfg, life, book, peers)
    background = [
        asyncio.create_task(watch_fronts(kv, FrontSynchronizer(book), around)),
        asyncio.create_task(monitor_loop_lag(controller)),
        asyncio.create_task(routed.run_pollers()),
        asyncio.create_task(watch_live_instances(live, peers)),
    ]
    if peers is not None:
        serving = peers.run(cfg.peers_listen, listing)
        background.append(asyncio.create_task(serving))
    async with asyncio.TaskGroup() as group:
        for tracker, app, listen in (
            (trackers[0], callers, cfg.callers_listen),
            (trackers[1], operators, cfg.operators_listen),
        ):
            group.create_task(serve_app(tracker.wrap(app), listen, stop))
        await drain_node(life, trackers, leaver(peers), _drain_bounds(cfg))
        stop.set()
    await actions.close()
    for task in background:
        task.cancel()
    if peers is not None:
        peers.close()
    await routed.upstreams.close()
    life.finish()


def _status(
    cfg: Settings,
    life: NodeLifecycle,
    book: FrontRegistry,
    peers: PeerService | None,
) -> NodeStatus:
    return NodeStatus(
        instance=cfg.instance_name,
        zone=cfg.instance_zone,
        state=life.state,
        position=book.position,
        fronts={name: book.revision(name) for name in book.names},
        peers=peer_statuses(peers),
    )


def _drain_bounds(cfg: Settings) -> DrainTimeouts:
    return DrainTimeouts(
        cfg.limits_balancer_lag_seconds,
        cfg.limits_drain_seconds,
    )


def _listen_to_signals(life: NodeLifecycle) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, life.drain)
