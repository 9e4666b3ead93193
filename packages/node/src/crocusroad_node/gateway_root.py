"""The composition root of a gateway: builds and runs its components."""

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from time import monotonic
from typing import Final, NamedTuple

from returns.result import Result

from crocusroad_core.poison import PoisonTracker
from crocusroad_core.retry_budget import RetryBounds
from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.gateway._components import (
    GatewayComponents,
    build_components,
    peer_request_handler,
)
from crocusroad_node.gateway._connection import CallerConnection, RequestHandler
from crocusroad_node.gateway._crash_archive import CrashArchive
from crocusroad_node.gateway._crash_reports import CrashReports
from crocusroad_node.gateway._delegation_messages import DELEGATED_HEADER
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._directory_updaters import (
    ConfigUpdater,
    ReplicaUpdater,
)
from crocusroad_node.gateway._drain import (
    DrainTimes,
    close_listener,
    drain_connections,
    plan_drain,
)
from crocusroad_node.gateway._endpoints import (
    metrics_handler,
    readiness_handler,
)
from crocusroad_node.gateway._fleet_membership import (
    FleetKeyValue,
    FleetMembership,
)
from crocusroad_node.gateway._listener_context import ListenerContext
from crocusroad_node.gateway._peer_clients import make_peer_clients
from crocusroad_node.gateway._platform_protocol import PlatformProtocol
from crocusroad_node.gateway._prefix_watcher import PrefixWatcher, WatchHandlers
from crocusroad_node.gateway._relay_server import RelayServer
from crocusroad_node.gateway._relayed_store import RelayedStore
from crocusroad_node.gateway._reload import SettingsReloader
from crocusroad_node.gateway._request_log import dropped_request_logger
from crocusroad_node.gateway._start_hold import MAX_HOLD_SECONDS, StartHold
from crocusroad_node.gateway._stop_log import StopLog
from crocusroad_node.logs import log_event
from crocusroad_node.node_lifecycle import NodeLifecycle
from crocusroad_node.supervision import Job, supervise
from crocusroad_wire import CrashReport

_logger = logging.getLogger(__name__)

# Pause between two watches of the registrations, so that one reply carries
# many changes. It is well within the bound for noticing a replica that leaves.
BATCH_DELAY_SECONDS: Final = 0.5
POLL_SECONDS: Final = 0.01
ACCEPT_BACKLOG: Final = 1024  # connections that wait to be accepted

Address = tuple[str, int]


class GatewaySettings(NamedTuple):
    """Settings of a gateway."""

    instance: str
    zone: str
    callers_listen: Address
    ready_listen: Address
    relay_listen: Address  # at which other instances reach this one
    metrics_listen: Address
    link_mbps: float  # bandwidth of this instance's network link
    cores: float  # CPU speed in whole cores; 0: unknown
    grace: float  # seconds from SIGTERM to SIGKILL
    repeats: RetryBounds


class PlatformAdapters(NamedTuple):
    """What the platform provides to a gateway."""

    protocol: PlatformProtocol
    kv: FleetKeyValue
    # Reads the settings again.
    read_settings: Callable[[], Result[GatewaySettings, str]]


async def run_gateway(cfg: GatewaySettings, adapters: PlatformAdapters) -> None:
    """Run a gateway until a signal stops it and it has drained."""
    protocol = adapters.protocol
    lifecycle = NodeLifecycle()
    own = _own_member(cfg)
    selector = SourceSelector(own)
    get_client = make_peer_clients()
    tracker = PoisonTracker()
    crashes = CrashReports(tracker, own.name, selector, get_client)
    archive = CrashArchive(
        adapters.kv,
        protocol.crashes_prefix,
        own.name,
        tracker,
        crashes.receive,
    )
    components = build_components(
        protocol,
        own,
        cfg.repeats,
        lambda: lifecycle.is_ready,
        tracker,
        _publish_to(crashes.publish, archive.publish),
    )
    directory = components.directory
    store = RelayedStore(adapters.kv, selector, get_client, crashes.receive)
    relay_server = RelayServer(crashes.recent)
    callers_context = ListenerContext(
        'callers',
        directory,
        lifecycle,
        log_dropped=dropped_request_logger(protocol.headers.request_id),
    )

    def on_members(members: list[FleetMember]) -> None:
        store.on_members(members)
        if members:
            crashes.on_members(members)
            components.on_members(members)

    reloader = SettingsReloader(
        cfg,
        adapters.read_settings,
        lambda changed: components.set_retry_bounds(changed.repeats),
    )
    _handle_signals(lifecycle, reloader)
    local_context = ListenerContext('local', directory, lifecycle)
    peers_context = ListenerContext(
        'instances',
        directory,
        lifecycle,
        DELEGATED_HEADER,
        components.delegation_handler.handle_notification,
    )
    handle_peer_request = peer_request_handler(
        components.delegation_handler,
        crashes.handle,
        relay_server.handle,
    )
    start_hold = StartHold(components.gateway.handle)
    servers = await _start_servers(
        cfg,
        (
            (cfg.callers_listen, callers_context, start_hold.handle),
            (cfg.relay_listen, peers_context, handle_peer_request),
            (
                cfg.metrics_listen,
                local_context,
                metrics_handler(components.publish_tokens),
            ),
            (
                cfg.ready_listen,
                local_context,
                _readiness(protocol, directory, lifecycle),
            ),
        ),
    )
    asyncio.get_running_loop().call_later(MAX_HOLD_SECONDS, start_hold.release)
    membership = FleetMembership(
        adapters.kv,
        protocol.instances_prefix,
        own,
        on_members,
    )
    watchers = _build_watchers(store, relay_server, directory, protocol)
    tasks = _start_jobs(
        {
            'configuration': watchers[0].run,
            'registrations': watchers[1].run,
            'membership': membership.run,
            'reload': reloader.run,
            'connections': components.warmer.run,
            'crash reports': crashes.run,
            'crash archive': archive.run,
            'start': lambda: _serve_when_populated(
                directory, lifecycle, start_hold
            ),
        }
    )
    await lifecycle.draining.wait()
    deregistration = asyncio.create_task(membership.deregister())
    times = plan_drain(lifecycle.drain_began_at, reloader.cfg.grace)
    stop_log = await _drain(
        components,
        callers_context,
        start_hold,
        times,
        lifecycle.drain_began_at,
        servers[0],
    )
    for task in (*tasks, deregistration):
        task.cancel()
    for server in servers:
        server.close()
    lifecycle.finish()
    stop_log.end(monotonic())


async def _drain(
    components: GatewayComponents,
    context: ListenerContext,
    start_hold: StartHold,
    times: DrainTimes,
    began_at: float,
    server: asyncio.Server,
) -> StopLog:
    gateway = components.gateway
    stop_log = StopLog(
        context,
        lambda: gateway.unanswered(start_hold.requests),
        times,
        began_at,
    )
    stop_log.begin()
    components.stop_by(times.answers_until)
    await drain_connections(
        context,
        lambda: gateway.in_flight + start_hold.count,
        times,
        lambda: close_listener(server),
    )
    # The loop still turns until the exit, which would cut what begins now.
    components.stop_by(monotonic())
    return stop_log


def _publish_to(
    *publishers: Callable[[CrashReport], None],
) -> Callable[[CrashReport], None]:
    def publish(report: CrashReport) -> None:
        for publisher in publishers:
            publisher(report)

    return publish


def _own_member(cfg: GatewaySettings) -> FleetMember:
    address = '{}:{}'.format(*cfg.relay_listen)
    return FleetMember(
        cfg.instance,
        cfg.zone,
        address,
        cfg.link_mbps,
        cfg.cores,
    )


def _readiness(
    protocol: PlatformProtocol,
    directory: Directory,
    lifecycle: NodeLifecycle,
) -> RequestHandler:
    def not_ready_reason() -> str:
        if not lifecycle.is_ready:
            return lifecycle.state
        return '' if directory.is_populated else 'no routes or replicas yet'

    return readiness_handler(protocol.ready_path, not_ready_reason)


def _build_watchers(
    store: RelayedStore,
    relay_server: RelayServer,
    directory: Directory,
    protocol: PlatformProtocol,
) -> tuple[PrefixWatcher, PrefixWatcher]:
    config_updater = ConfigUpdater(directory, protocol)
    replica_updater = ReplicaUpdater(directory, protocol)

    def is_direct() -> bool:
        return store.is_direct(protocol.replicas_prefix)

    return (
        PrefixWatcher(
            store,
            protocol.config_key,
            WatchHandlers(config_updater.on_listing, config_updater.on_changes),
            relay_server,
        ),
        PrefixWatcher(
            store,
            protocol.replicas_prefix,
            WatchHandlers(
                replica_updater.on_listing,
                replica_updater.on_changes,
                replica_updater.on_reachability,
            ),
            relay_server,
            batch_delay=lambda: BATCH_DELAY_SECONDS if is_direct() else 0,
        ),
    )


def _start_jobs(jobs: dict[str, Job]) -> list[asyncio.Task[None]]:
    return [
        asyncio.create_task(supervise(name, run)) for name, run in jobs.items()
    ]


async def _start_servers(
    cfg: GatewaySettings,
    listeners: tuple[tuple[Address, ListenerContext, RequestHandler], ...],
) -> list[asyncio.Server]:
    log_event(_logger, 'start', zone=cfg.zone, listen=cfg.callers_listen)
    return await asyncio.gather(
        *(_start_server(*listener) for listener in listeners),
    )


def _handle_signals(
    lifecycle: NodeLifecycle,
    reloader: SettingsReloader[GatewaySettings],
) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, lifecycle.drain)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload_requested.set)


async def _start_server(
    address: Address,
    context: ListenerContext,
    handle: RequestHandler,
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(context, handle),
        *address,
        backlog=ACCEPT_BACKLOG,
        reuse_address=True,
    )


async def _serve_when_populated(
    directory: Directory,
    lifecycle: NodeLifecycle,
    start_hold: StartHold,
) -> None:
    while not directory.is_populated:  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
    # The objects that exist now are long-lived. They are excluded from further
    # garbage collections, because a full one takes tens of milliseconds on a
    # slow instance.
    gc.collect()
    gc.freeze()
    lifecycle.serve()
    start_hold.release()
