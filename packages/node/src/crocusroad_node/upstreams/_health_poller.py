"""Background reading of the replicas' health."""

import asyncio
from collections.abc import Iterator

from returns.result import Success

from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import Front, Replica
from crocusroad_core.routing import Router
from crocusroad_core.snapshots import VersionSelector
from crocusroad_node.upstreams._port import Upstreams

ROUND_SECONDS = 1.0
POLLS_PER_SECOND = 100
HEALTH_SECONDS = 1.0


async def poll_health(
    book: FrontRegistry,
    upstreams: Upstreams,
    router: Router,
    versions: VersionSelector,
) -> None:
    """Read the health of every replica each round, for ever.

    A round takes `ROUND_SECONDS`, and longer if it would exceed
    `POLLS_PER_SECOND`.
    """
    known: dict[str, int] = {}
    waiting: set[asyncio.Task[object]] = set()
    loop = asyncio.get_running_loop()
    while True:
        is_changed = _tell_router(book, router, known, loop.time())
        replicas = _replicas(book)
        if is_changed:
            versions.retain(_names(book))
        pause = ROUND_SECONDS / max(1, len(replicas))
        if not replicas:
            await asyncio.sleep(ROUND_SECONDS)
        while replicas:
            task: asyncio.Task[object] = loop.create_task(
                _poll(replicas.pop(), upstreams, versions),
            )
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(max(pause, 1 / POLLS_PER_SECOND))


async def _poll(
    replicas: list[Replica],
    upstreams: Upstreams,
    versions: VersionSelector,
) -> None:
    outcome = await upstreams.health(replicas[-1], HEALTH_SECONDS)
    if not isinstance(outcome, Success):
        return
    served = outcome.unwrap()['versions']
    if served:  # a list without any is no ground to refuse a search
        now = asyncio.get_running_loop().time()
        for replica in replicas:
            versions.record_versions(replica.name, served, now)


def _tell_router(
    book: FrontRegistry,
    router: Router,
    known: dict[str, int],
    now: float,
) -> bool:
    """Tell the router of fronts; return whether one has changed."""
    is_changed = False
    names = known.keys() | book.names
    for name in names:
        revision = book.revision(name)
        if known.get(name) != revision:
            is_changed = True
            known[name] = revision
            router.on_front(name, _front_replicas(book.find(name)), now)
    return is_changed


def _names(book: FrontRegistry) -> set[str]:
    return {
        replica.name
        for name in book.names
        for replica in _front_replicas(book.find(name))
    }


def _replicas(book: FrontRegistry) -> list[list[Replica]]:
    """Return the replicas by address: one poll serves all of an address."""
    by_address: dict[str, dict[str, Replica]] = {}
    for name in book.names:
        for replica in _front_replicas(book.find(name)):
            by_address.setdefault(replica.address, {})[replica.name] = replica
    return [list(group.values()) for group in by_address.values()]


def _front_replicas(front: Front | None) -> Iterator[Replica]:
    if front is None:
        return
    for shard_map in front.shard_maps.values():
        for replicas in shard_map.shards.values():
            yield from replicas
