"""Polling of the platform's list of instances, on behalf of upstreams."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from returns.result import Success

from crocusroad_core.links import RecentInstances
from crocusroad_node.platform import Instance, InstanceList

POLL_SECONDS = 1.0
ROLE_NODE = 'node'

# Called with the number of live nodes: (count, now).
OnLiveCount = Callable[[int, float], None]
# Called with names and addresses of upstreams that are leaving: (names, now).
OnLeaving = Callable[[Iterable[str], float], None]


async def poll_instances(
    instances: InstanceList,
    recent_instances: RecentInstances,
    on_live: Sequence[OnLiveCount],
    on_leaving: OnLeaving,
) -> None:
    """Read the list of instances every `POLL_SECONDS`; never return.

    While the list cannot be read, the last one stays in force.
    """
    loop = asyncio.get_running_loop()
    while True:
        listed = await instances.read()
        if isinstance(listed, Success):
            now = loop.time()
            _update(listed.unwrap(), recent_instances, on_live, now)
            on_leaving(_leaving_upstreams(listed.unwrap()), now)
        await asyncio.sleep(POLL_SECONDS)


def _update(
    listed: Sequence[Instance],
    recent_instances: RecentInstances,
    on_live: Sequence[OnLiveCount],
    now: float,
) -> None:
    nodes = [instance for instance in listed if instance.role == ROLE_NODE]
    recent_instances.on_list([instance.name for instance in nodes], now)
    live_count = sum(not instance.is_leaving for instance in nodes)
    for callback in on_live:
        callback(live_count, now)


def _leaving_upstreams(listed: Sequence[Instance]) -> set[str]:
    leaving = [
        instance
        for instance in listed
        if instance.is_leaving and instance.role != ROLE_NODE
    ]
    return {instance.name for instance in leaving} | {
        instance.address for instance in leaving
    }
