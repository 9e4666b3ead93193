"""Background reading of the replicas' health."""

import asyncio
from collections.abc import Iterator

from crocusroad_core.configs import FrontBook
from crocusroad_core.fronts import Front, Replica
from crocusroad_core.routing import Router
from crocusroad_node.upstreams._port import Upstreams

ROUND_SECONDS = 1.0
POLLS_PER_SECOND = 100
HEALTH_SECONDS = 1.0


async def poll_health(
    book: FrontBook,
    upstreams: Upstreams,
    router: Router,
) -> None:
    """Read the health of every replica each round, for ever.

    A round takes `ROUND_SECONDS`, and longer if it would exceed
    `POLLS_PER_SECOND`.
    """
    known: dict[str, int] = {}
    waiting: set[asyncio.Task[object]] = set()
    loop = asyncio.get_running_loop()
    while True:
        _tell_router(book, router, known, loop.time())
        replicas = _replicas(book)
        pause = ROUND_SECONDS / max(1, len(replicas))
        if not replicas:
            await asyncio.sleep(ROUND_SECONDS)
        while replicas:
            replica = replicas.pop()
            task: asyncio.Task[object] = loop.create_task(
                upstreams.health(replica, HEALTH_SECONDS),
            )
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(max(pause, 1 / POLLS_PER_SECOND))


def _tell_router(
    book: FrontBook,
    router: Router,
    known: dict[str, int],
    now: float,
) -> None:
    names = known.keys() | book.names
    for name in names:
        revision = book.revision(name)
        if known.get(name) != revision:
            known[name] = revision
            router.on_front(name, _front_replicas(book.find(name)), now)


def _replicas(book: FrontBook) -> list[Replica]:
    by_address: dict[str, Replica] = {}
    for name in book.names:
        replicas = _front_replicas(book.find(name))
        by_address |= {replica.address: replica for replica in replicas}
    return list(by_address.values())


def _front_replicas(front: Front | None) -> Iterator[Replica]:
    if front is None:
        return
    for shard_map in front.shard_maps.values():
        for replicas in shard_map.shards.values():
            yield from replicas
