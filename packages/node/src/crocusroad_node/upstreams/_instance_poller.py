"""What the platform's list of instances means for upstreams."""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from returns.result import Success

from crocusroad_core.links import RecentInstances
from crocusroad_node.platform import Instance, Instances

READ_SECONDS = 1.0
ROLE_NODE = 'node'

# Takes the number of live nodes: (count, now).
OnLive = Callable[[int, float], None]
# Takes names and addresses of upstreams that leave: (names, now).
OnLeaving = Callable[[Iterable[str], float], None]


async def follow_instances(
    listing: Instances,
    view: RecentInstances,
    on_live: Sequence[OnLive],
    on_leaving: OnLeaving,
) -> None:
    """Read the list again and again, for ever; keep the last one read."""
    loop = asyncio.get_running_loop()
    while True:
        listed = await listing.read()
        if isinstance(listed, Success):
            now = loop.time()
            _take(listed.unwrap(), view, on_live, now)
            on_leaving(_leaving(listed.unwrap()), now)
        await asyncio.sleep(READ_SECONDS)


def _take(
    listed: Sequence[Instance],
    view: RecentInstances,
    on_live: Sequence[OnLive],
    now: float,
) -> None:
    nodes = [one for one in listed if one.role == ROLE_NODE]
    view.on_list([one.name for one in nodes], now)
    live = sum(not one.is_leaving for one in nodes)
    for tell in on_live:
        tell(live, now)


def _leaving(listed: Sequence[Instance]) -> set[str]:
    leaving = [
        one for one in listed if one.is_leaving and one.role != ROLE_NODE
    ]
    return {one.name for one in leaving} | {one.address for one in leaving}
