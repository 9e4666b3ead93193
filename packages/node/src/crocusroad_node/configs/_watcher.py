"""Adoption of fronts from the KV."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple

from returns.result import Result, Success

from crocusroad_core.configs import (
    Adoption,
    AppliedChange,
    Change,
    FrontSynchronizer,
    is_watcher,
    poll_period,
)
from crocusroad_node.configs._keys import FRONTS_PREFIX, front_name
from crocusroad_node.counters import (
    CONFIG_CHANGES,
    FRONT_REVISION,
    STORE_REGRESSIONS,
)
from crocusroad_node.logs import log_event
from crocusroad_node.platform import Batch, KeyValue, StoreFault

WATCH_SECONDS = 20.0
RETRY_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class WatchContext(NamedTuple):
    """What the adoption asks of the rest of the node."""

    own_name: str
    members: Callable[[], frozenset[str]]  # names of the nodes seen
    pull: Callable[[], Awaitable[bool]]  # fronts from peers; true: all
    on_synced: Callable[[], None]
    rng: Random


async def watch_fronts(
    kv: KeyValue,
    feed: FrontSynchronizer,
    around: WatchContext,
) -> None:
    """Adopt every change of the fronts, for ever."""
    await _start(kv, feed, around)
    around.on_synced()
    while True:
        members = around.members()
        wait = WATCH_SECONDS
        if not is_watcher(around.own_name, members):
            wait = 0
            jitter = around.rng.random()
            await asyncio.sleep(poll_period(len(members), jitter))
        await _look(kv, feed, wait)


def report_adopted(adopted: list[AppliedChange]) -> None:
    """Count and log what became of changes."""
    for change, adoption in adopted:
        CONFIG_CHANGES.labels(adoption.value).inc()
        if adoption is Adoption.adopted:
            FRONT_REVISION.labels(change.name).set(change.revision)
        if adoption is not Adoption.old:
            what = f'front {adoption.value}'
            log_event(
                _logger, what, front=change.name, revision=change.revision
            )


async def _start(
    kv: KeyValue, feed: FrontSynchronizer, around: WatchContext
) -> None:
    is_waiting = False
    while not (await _list_all(kv, feed) or await around.pull()):
        if not is_waiting:
            log_event(_logger, 'no configuration: neither KV nor peer has it')
        is_waiting = True
        await asyncio.sleep(RETRY_SECONDS)


async def _list_all(kv: KeyValue, feed: FrontSynchronizer) -> bool:
    batch = await kv.list(FRONTS_PREFIX)
    if not isinstance(batch, Success):
        return False
    return _report(feed.on_list(*_changes(batch.unwrap())))


async def _look(kv: KeyValue, feed: FrontSynchronizer, wait: float) -> None:
    batch = await kv.watch(FRONTS_PREFIX, feed.cursor, wait)
    is_taken = isinstance(batch, Success) and _report(
        feed.on_changes(*_changes(batch.unwrap())),
    )
    if not is_taken:
        await _recover(kv, feed, batch)


async def _recover(
    kv: KeyValue,
    feed: FrontSynchronizer,
    batch: Result[Batch, StoreFault],
) -> None:
    fault = None if isinstance(batch, Success) else batch.failure()
    if fault is StoreFault.compacted and await _list_all(kv, feed):
        return
    await asyncio.sleep(RETRY_SECONDS)


def _changes(batch: Batch) -> tuple[int, list[Change]]:
    changes = [
        Change(front_name(key), revision, text)
        for key, text, revision in batch.entries
    ]
    return batch.revision, changes


def _report(adopted: list[AppliedChange] | None) -> bool:
    if adopted is None:
        STORE_REGRESSIONS.inc()
        return False
    report_adopted(adopted)
    return True
