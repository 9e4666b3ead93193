"""Construction of the components of a gateway that handle requests."""

from collections.abc import Callable, Iterable
from random import Random
from time import monotonic
from typing import NamedTuple

from crocusroad_core.coordinators import (
    Backlog,
    CoordinatorSelector,
    fan_out_weight,
    shard_seconds,
)
from crocusroad_core.discovery import ReplicaTable
from crocusroad_core.poison import PoisonTracker
from crocusroad_core.retry_budget import RetryBounds, RetryBudgets
from crocusroad_core.routes import CurrentRouteTable, WeightedRoundRobin
from crocusroad_core.routing import Router
from crocusroad_core.sources import FleetMember
from crocusroad_node.gateway._connection import RequestHandler
from crocusroad_node.gateway._connection_warmer import ConnectionWarmer
from crocusroad_node.gateway._crash_guard import CrashGuard
from crocusroad_node.gateway._crash_reports import CRASHES_PATH
from crocusroad_node.gateway._delegation_handler import DelegationHandler
from crocusroad_node.gateway._delegation_messages import DELEGATED_HEADER
from crocusroad_node.gateway._delegator import Delegator
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._gateway import Gateway, GatewayDependencies
from crocusroad_node.gateway._platform_protocol import PlatformProtocol
from crocusroad_node.gateway._policies import RoutePolicies
from crocusroad_node.gateway._query import ReplicaAccess
from crocusroad_node.gateway._replica_pools import ReplicaPools
from crocusroad_node.gateway._reply import SendReply
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_wire import CrashReport


class GatewayComponents(NamedTuple):
    """The components that the composition root runs and updates."""

    directory: Directory
    gateway: Gateway
    delegation_handler: DelegationHandler
    warmer: ConnectionWarmer
    on_members: Callable[[list[FleetMember]], None]
    set_retry_bounds: Callable[[RetryBounds], None]
    publish_tokens: Callable[[], None]  # of the retry budgets, as metrics
    # Answers or refuses every request until the given time.
    stop_by: Callable[[float], None]


def build_components(
    protocol: PlatformProtocol,
    own: FleetMember,
    bounds: RetryBounds,
    is_serving: Callable[[], bool],
    tracker: PoisonTracker,
    publish_crash: Callable[[CrashReport], None],
) -> GatewayComponents:
    """Build the components that handle requests and connect them."""
    random = Random()  # noqa: S311
    pools = ReplicaPools(protocol.headers.request_id, own.zone, monotonic)
    router = Router(own.zone, random.random, pools.reach_cost)
    directory = Directory(
        CurrentRouteTable(),
        ReplicaTable(),
        router,
        pools.retain,
        pools.release,
        monotonic,
    )
    budgets = RetryBudgets(bounds, directory.is_shard, monotonic())
    policies = RoutePolicies(router, budgets)
    access = ReplicaAccess(
        protocol.headers,
        router,
        pools.pool,
        policies.record_latency,
        policies.record_hedge,
        directory.on_notice,
    )
    coordinators = CoordinatorSelector(own)
    backlog = Backlog()
    seconds_per_shard = shard_seconds(own)
    dependencies = GatewayDependencies(
        protocol,
        directory,
        access,
        policies,
        budgets,
        WeightedRoundRobin(random.random),
        Delegator(own, coordinators, protocol.headers.request_id),
        CrashGuard(tracker, pools.check_reachable, publish_crash, monotonic),
        lambda shards: backlog.add(shards * seconds_per_shard, monotonic()),
    )
    gateway = Gateway(dependencies, monotonic)
    delegation_handler = DelegationHandler(
        directory,
        backlog,
        is_serving,
        gateway.coordinate,
        protocol.headers.request_id,
    )

    def is_used(service: str) -> bool:
        if not directory.is_shard(service):
            return True
        return coordinators.has_member_list and not coordinators.has_candidates

    def on_members(members: Iterable[FleetMember]) -> None:
        listed = tuple(members)
        coordinators.on_members(listed)
        weight = fan_out_weight(own, listed)
        budgets.set_instances(len(listed), weight)
        pools.set_instances(len(listed), weight)

    def stop_by(until: float) -> None:
        pools.limit_answers(until)
        gateway.stop_by(until)

    return GatewayComponents(
        directory,
        gateway,
        delegation_handler,
        ConnectionWarmer(own.name, own.zone, directory, pools.pool, is_used),
        on_members,
        budgets.set_bounds,
        lambda: policies.publish_tokens(monotonic()),
        stop_by,
    )


def peer_request_handler(
    delegation_handler: DelegationHandler,
    handle_crashes: RequestHandler,
    handle_relay: RequestHandler,
) -> RequestHandler:
    """Return the handler of the address that other instances call.

    Delegated fan-outs go to `delegation_handler`, crash reports to
    `handle_crashes`, reads of the store's data to `handle_relay`.
    """

    def handle(req: CallerRequest, send_reply: SendReply) -> Callable[[], None]:
        if req.header(DELEGATED_HEADER):
            return delegation_handler.handle(req, send_reply)
        if req.path == CRASHES_PATH:
            return handle_crashes(req, send_reply)
        return handle_relay(req, send_reply)

    return handle
