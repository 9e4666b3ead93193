"""Assembly of the upstreams, their routing and their pollers."""

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
from crocusroad_node.platform import InstanceList
from crocusroad_node.settings import Settings
from crocusroad_node.supervision import supervise
from crocusroad_node.upstreams._client import UpstreamClient
from crocusroad_node.upstreams._health_poller import poll_health
from crocusroad_node.upstreams._instance_poller import (
    OnLiveCount,
    poll_instances,
)
from crocusroad_node.upstreams._notices import UpstreamNotices
from crocusroad_node.upstreams._observed import ObservedUpstreams
from crocusroad_node.upstreams._policies import build_policies
from crocusroad_node.upstreams._port import Upstreams

RunPollers = Callable[[], Coroutine[None, None, None]]


class RoutedUpstreams(NamedTuple):
    """Upstreams with their policies, pollers and snapshot versions."""

    upstreams: Upstreams
    policy_for: Callable[[Front], Policy]
    run_pollers: RunPollers
    versions: VersionSelector


def build_routed_upstreams(
    cfg: Settings,
    registry: FrontRegistry,
    instances: InstanceList,
    on_live: OnLiveCount,
) -> RoutedUpstreams:
    """Build the upstreams with their router, budget and pollers.

    `run_pollers` of the returned object runs until it is cancelled.
    """
    random = Random().random  # noqa: S311
    clock = asyncio.get_running_loop().time
    router = Router(cfg.instance_zone, random)
    budget = ExtraLoadBudget(cfg.limits_extra_load)
    versions = VersionSelector()
    recent_instances = RecentInstances(cfg.instance_name)
    notices = UpstreamNotices()
    client = UpstreamClient(
        cfg.instance_name, cfg.instance_zone, recent_instances, notices
    )
    upstreams = ObservedUpstreams(client, router, budget, clock)

    async def run_pollers() -> None:
        await asyncio.gather(
            supervise(
                'health poller',
                lambda: poll_health(registry, upstreams, router, versions),
            ),
            supervise(
                'instance poller',
                lambda: poll_instances(
                    instances,
                    recent_instances,
                    [router.on_instances, on_live],
                    router.on_leaving,
                ),
            ),
        )

    policy_for = build_policies(cfg, router, budget, random)
    return RoutedUpstreams(
        upstreams,
        lambda front: notices.restrict(policy_for(front)),
        run_pollers,
        versions,
    )
