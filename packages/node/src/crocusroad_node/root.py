"""The composition root of an instance: builds its components and wires them."""

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
from crocusroad_node.operators import OperatorContext, build_operator_app
from crocusroad_node.peers import PeerService, build_peers
from crocusroad_node.peers_root import (
    build_watch_context,
    make_leave_callback,
    member_positions,
    peer_statuses,
)
from crocusroad_node.platform import HttpInstanceList, HttpKeyValue
from crocusroad_node.serving import SearchService, monitor_loop_lag
from crocusroad_node.settings import Settings
from crocusroad_node.supervision import Job, supervise
from crocusroad_node.upstreams import build_routed_upstreams
from crocusroad_node.web import serve_app
from crocusroad_wire import NodeStatus


async def run_node(cfg: Settings) -> None:
    """Run an instance until a signal stops it and its requests are drained."""
    lifecycle = NodeLifecycle()
    stop = asyncio.Event()
    kv = HttpKeyValue(cfg.platform_kv)
    registry = FrontRegistry()
    peers = build_peers(cfg, registry, Random())  # noqa: S311
    live_instances = LiveInstanceCount()
    controller = AdmissionController(ConcurrencyLimit(), live_instances)
    instance_list = HttpInstanceList(cfg.platform_instances)
    routed = build_routed_upstreams(
        cfg, registry, instance_list, live_instances.observe
    )
    guard = build_fleet_crash_guard(peers)
    service = SearchService(
        registry,
        routed.upstreams,
        routed.policy_for,
        versions=routed.versions,
        guard=guard,
        controller=controller,
    )
    actions = build_actions(
        cfg.instance_name,
        registry,
        routed,
        kv,
        controller,
        guard,
    )
    callers = build_caller_app(service, actions, lifecycle)
    operator_context = OperatorContext(
        store=FrontStore(kv),
        registry=registry,
        positions=lambda: member_positions(cfg, registry, peers),
        status=lambda: _make_status(cfg, lifecycle, registry, peers),
    )
    operators = build_operator_app(operator_context, cfg.operators_token_sha256)
    _install_signal_handlers(lifecycle)
    trackers = (RequestTracker(lifecycle), RequestTracker(lifecycle))
    watch_context = build_watch_context(cfg, lifecycle, registry, peers)
    synchronizer = FrontSynchronizer(registry)
    jobs: dict[str, Job] = {
        'fronts': lambda: watch_fronts(kv, synchronizer, watch_context),
        'loop lag': lambda: monitor_loop_lag(controller),
        'pollers': routed.run_pollers,
        'live instances': lambda: watch_live_instances(live_instances, peers),
    }
    if peers is not None:
        run_peers = peers.run
        jobs['peers'] = lambda: run_peers(cfg.peers_listen, instance_list)
    background_tasks = [
        asyncio.create_task(supervise(name, run)) for name, run in jobs.items()
    ]
    async with asyncio.TaskGroup() as group:
        for tracker, app, listen in (
            (trackers[0], callers, cfg.callers_listen),
            (trackers[1], operators, cfg.operators_listen),
        ):
            group.create_task(serve_app(tracker.wrap(app), listen, stop))
        await drain_node(
            lifecycle,
            trackers,
            make_leave_callback(peers),
            _make_drain_timeouts(cfg),
        )
        stop.set()
    await actions.close()
    for task in background_tasks:
        task.cancel()
    if peers is not None:
        peers.close()
    await routed.upstreams.close()
    lifecycle.finish()


def _make_status(
    cfg: Settings,
    lifecycle: NodeLifecycle,
    registry: FrontRegistry,
    peers: PeerService | None,
) -> NodeStatus:
    return NodeStatus(
        instance=cfg.instance_name,
        zone=cfg.instance_zone,
        state=lifecycle.state,
        position=registry.position,
        fronts={name: registry.revision(name) for name in registry.names},
        peers=peer_statuses(peers),
    )


def _make_drain_timeouts(cfg: Settings) -> DrainTimeouts:
    return DrainTimeouts(
        cfg.limits_balancer_lag_seconds,
        cfg.limits_drain_seconds,
    )


def _install_signal_handlers(lifecycle: NodeLifecycle) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, lifecycle.drain)
