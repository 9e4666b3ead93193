"""Background polling of the health of replicas."""

import asyncio
from collections.abc import Iterator

from returns.result import Success

from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import Front, Replica
from crocusroad_core.routing import Router
from crocusroad_core.snapshots import VersionSelector
from crocusroad_node.upstreams._port import Upstreams

ROUND_SECONDS = 1.0
MAX_POLLS_PER_SECOND = 100
HEALTH_TIMEOUT_SECONDS = 1.0


async def poll_health(
    registry: FrontRegistry,
    upstreams: Upstreams,
    router: Router,
    versions: VersionSelector,
) -> None:
    """Poll the health of every replica in rounds; never return.

    A round takes `ROUND_SECONDS`, or longer if it would otherwise exceed
    `MAX_POLLS_PER_SECOND`.
    """
    revisions: dict[str, int] = {}
    tasks: set[asyncio.Task[object]] = set()
    loop = asyncio.get_running_loop()
    while True:
        is_changed = _update_router(registry, router, revisions, loop.time())
        replicas = _replicas_by_address(registry)
        if is_changed:
            versions.retain(_replica_names(registry))
        interval = ROUND_SECONDS / max(1, len(replicas))
        if not replicas:
            await asyncio.sleep(ROUND_SECONDS)
        while replicas:
            task: asyncio.Task[object] = loop.create_task(
                _poll(replicas.pop(), upstreams, versions),
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(max(interval, 1 / MAX_POLLS_PER_SECOND))


async def _poll(
    replicas: list[Replica],
    upstreams: Upstreams,
    versions: VersionSelector,
) -> None:
    outcome = await upstreams.health(replicas[-1], HEALTH_TIMEOUT_SECONDS)
    if not isinstance(outcome, Success):
        return
    served = outcome.unwrap()['versions']
    if served:  # an empty list is no reason to refuse a search
        now = asyncio.get_running_loop().time()
        for replica in replicas:
            versions.record_versions(replica.name, served, now)


def _update_router(
    registry: FrontRegistry,
    router: Router,
    revisions: dict[str, int],
    now: float,
) -> bool:
    """Update the router from the fronts in force.

    Returns:
        Whether a front has changed since the previous round.
    """
    is_changed = False
    names = revisions.keys() | registry.names
    for name in names:
        revision = registry.revision(name)
        if revisions.get(name) != revision:
            is_changed = True
            revisions[name] = revision
            router.on_front(name, _front_replicas(registry.find(name)), now)
    return is_changed


def _replica_names(registry: FrontRegistry) -> set[str]:
    return {
        replica.name
        for name in registry.names
        for replica in _front_replicas(registry.find(name))
    }


def _replicas_by_address(registry: FrontRegistry) -> list[list[Replica]]:
    """Return the replicas grouped by address.

    One poll serves all replicas at an address.
    """
    by_address: dict[str, dict[str, Replica]] = {}
    for name in registry.names:
        for replica in _front_replicas(registry.find(name)):
            by_address.setdefault(replica.address, {})[replica.name] = replica
    return [list(group.values()) for group in by_address.values()]


def _front_replicas(front: Front | None) -> Iterator[Replica]:
    if front is None:
        return
    for shard_map in front.shard_maps.values():
        for replicas in shard_map.shards.values():
            yield from replicas
