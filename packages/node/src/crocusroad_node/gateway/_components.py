"""Builds the parts of a gateway that work on requests, and wires them."""

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
from crocusroad_core.retry_budget import RetryBounds, RetryBudgets
from crocusroad_core.routes import CurrentRouteTable, WeightedRoundRobin
from crocusroad_core.routing import Router
from crocusroad_core.sources import FleetMember
from crocusroad_node.gateway._connection import RequestHandler
from crocusroad_node.gateway._connection_warmer import ConnectionWarmer
from crocusroad_node.gateway._delegation_handler import DelegationHandler
from crocusroad_node.gateway._delegation_messages import DELEGATED_HEADER
from crocusroad_node.gateway._delegator import Delegator
from crocusroad_node.gateway._dialect import Dialect
from crocusroad_node.gateway._directory import Directory
from crocusroad_node.gateway._gateway import Gateway, GatewayDependencies
from crocusroad_node.gateway._policies import RoutePolicies
from crocusroad_node.gateway._query import ReplicaAccess
from crocusroad_node.gateway._replica_pools import ReplicaPools
from crocusroad_node.gateway._reply import SendReply
from crocusroad_node.gateway._request import CallerRequest


class GatewayComponents(NamedTuple):
    """The parts of a gateway that the root runs and feeds."""

    directory: Directory
    gateway: Gateway
    delegated: DelegationHandler
    warmer: ConnectionWarmer
    on_members: Callable[[list[FleetMember]], None]
    on_bounds: Callable[[RetryBounds], None]


def build_components(
    dialect: Dialect,
    own: FleetMember,
    bounds: RetryBounds,
    is_serving: Callable[[], bool],
) -> GatewayComponents:
    """Build the parts of a gateway that work on requests."""
    random = Random()  # noqa: S311
    pools = ReplicaPools(dialect.headers.request_id, own.zone)
    router = Router(own.zone, random.random, pools.reach_cost)
    directory = Directory(
        CurrentRouteTable(),
        ReplicaTable(),
        router,
        pools.retain,
        monotonic,
    )
    budget = RetryBudgets(bounds, directory.is_shard, monotonic())
    policies = RoutePolicies(router, budget)
    reach = ReplicaAccess(
        dialect.headers,
        router,
        pools.pool,
        policies.record_latency,
        policies.record_hedge,
    )
    coordinators = CoordinatorSelector(own)
    backlog = Backlog()
    cost = shard_seconds(own)
    parts = GatewayDependencies(
        dialect,
        directory,
        reach,
        policies,
        budget,
        WeightedRoundRobin(random.random),
        Delegator(own, coordinators, dialect.headers.request_id),
        lambda shards: backlog.add(shards * cost, monotonic()),
    )
    gateway = Gateway(parts, monotonic)
    desk = DelegationHandler(
        directory,
        backlog,
        is_serving,
        gateway.coordinate,
        dialect.headers.request_id,
    )

    def is_asked(service: str) -> bool:
        if not directory.is_shard(service):
            return True
        return coordinators.has_member_list and not coordinators.has_candidates

    def on_members(members: Iterable[FleetMember]) -> None:
        listed = tuple(members)
        coordinators.on_members(listed)
        weight = fan_out_weight(own, listed)
        budget.set_instances(len(listed), weight)
        pools.on_instances(len(listed), weight)

    return GatewayComponents(
        directory,
        gateway,
        desk,
        ConnectionWarmer(own.name, own.zone, directory, pools.pool, is_asked),
        on_members,
        budget.set_bounds,
    )


def peer_request_handler(
    delegated: DelegationHandler, copies: RequestHandler
) -> RequestHandler:
    """Return what begins the work on a request of another instance."""

    def begin(req: CallerRequest, answer: SendReply) -> Callable[[], None]:
        is_delegated = bool(req.header(DELEGATED_HEADER))
        return (delegated.handle if is_delegated else copies)(req, answer)

    return begin
