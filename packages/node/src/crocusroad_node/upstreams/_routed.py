"""The upstreams of a node with their routing, wired."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import NamedTuple

from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import Front
from crocusroad_core.gather import Policy
from crocusroad_core.links import RecentInstances
from crocusroad_core.routing import ExtraLoadBudget, Router
from crocusroad_core.snapshots import VersionSelector
from crocusroad_node.platform import Instances
from crocusroad_node.settings import Settings
from crocusroad_node.upstreams._client import UpstreamClient
from crocusroad_node.upstreams._health_poller import poll_health
from crocusroad_node.upstreams._instance_poller import OnLive, follow_instances
from crocusroad_node.upstreams._observed import ObservedUpstreams
from crocusroad_node.upstreams._policies import build_policies
from crocusroad_node.upstreams._port import Upstreams

Watch = Callable[[], Coroutine[None, None, None]]


class RoutedUpstreams(NamedTuple):
    """The upstreams, what is known of them, and their upkeep."""

    upstreams: Upstreams
    policy_for: Callable[[Front], Policy]
    run_pollers: Watch
    versions: VersionSelector


def build_routed_upstreams(
    cfg: Settings,
    book: FrontRegistry,
    listing: Instances,
    on_live: OnLive,
) -> RoutedUpstreams:
    """Wire the upstreams with router, budget and pollers.

    `watch` runs the pollers, for ever.
    """
    draw = Random().random  # noqa: S311
    clock = asyncio.get_running_loop().time
    router = Router(cfg.instance_zone, draw)
    budget = ExtraLoadBudget(cfg.limits_extra_load)
    versions = VersionSelector()
    view = RecentInstances(cfg.instance_name)
    client = UpstreamClient(cfg.instance_name, cfg.instance_zone, view)
    upstreams = ObservedUpstreams(client, router, budget, clock)

    async def run_pollers() -> None:
        await asyncio.gather(
            poll_health(book, upstreams, router, versions),
            follow_instances(
                listing, view, [router.on_instances, on_live], router.on_leaving
            ),
        )

    policy_for = build_policies(cfg, router, budget, draw)
    return RoutedUpstreams(upstreams, policy_for, run_pollers, versions)
