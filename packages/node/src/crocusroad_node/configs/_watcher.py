"""Adoption of front changes from the KV."""

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

WATCH_TIMEOUT_SECONDS = 20.0
RETRY_DELAY_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class WatchContext(NamedTuple):
    """The values and callbacks that watching fronts needs."""

    own_name: str
    members: Callable[[], frozenset[str]]  # names, including this node
    # Pulls fronts from peers; returns whether the node is now synced.
    pull_from_peers: Callable[[], Awaitable[bool]]
    on_synced: Callable[[], None]
    rng: Random


async def watch_fronts(
    kv: KeyValue,
    synchronizer: FrontSynchronizer,
    context: WatchContext,
) -> None:
    """Adopt every change of the fronts until cancelled.

    Few nodes keep a watch open. The others poll, which limits the load on
    the KV.
    """
    await _load_initial_fronts(kv, synchronizer, context)
    context.on_synced()
    while True:
        members = context.members()
        wait = WATCH_TIMEOUT_SECONDS
        if not is_watcher(context.own_name, members):
            wait = 0
            jitter = context.rng.random()
            await asyncio.sleep(poll_period(len(members), jitter))
        await _fetch_changes(kv, synchronizer, wait)


def report_adopted(adopted: list[AppliedChange]) -> None:
    """Count and log the adoption of changes."""
    for change, adoption in adopted:
        CONFIG_CHANGES.labels(adoption.value).inc()
        if adoption is Adoption.adopted:
            FRONT_REVISION.labels(change.name).set(change.revision)
        if adoption is not Adoption.old:
            event = f'front {adoption.value}'
            log_event(
                _logger, event, front=change.name, revision=change.revision
            )


async def _load_initial_fronts(
    kv: KeyValue, synchronizer: FrontSynchronizer, context: WatchContext
) -> None:
    is_waiting = False
    while not (
        await _list_all(kv, synchronizer) or await context.pull_from_peers()
    ):
        if not is_waiting:
            log_event(
                _logger,
                'no configuration: neither the KV nor a peer provides it',
            )
        is_waiting = True
        await asyncio.sleep(RETRY_DELAY_SECONDS)


async def _list_all(kv: KeyValue, synchronizer: FrontSynchronizer) -> bool:
    batch = await kv.list(FRONTS_PREFIX)
    if not isinstance(batch, Success):
        return False
    return _report_result(synchronizer.on_list(*_parse_batch(batch.unwrap())))


async def _fetch_changes(
    kv: KeyValue, synchronizer: FrontSynchronizer, wait: float
) -> None:
    batch = await kv.watch(FRONTS_PREFIX, synchronizer.cursor, wait)
    is_applied = isinstance(batch, Success) and _report_result(
        synchronizer.on_changes(*_parse_batch(batch.unwrap())),
    )
    if not is_applied:
        await _recover(kv, synchronizer, batch)


async def _recover(
    kv: KeyValue,
    synchronizer: FrontSynchronizer,
    batch: Result[Batch, StoreFault],
) -> None:
    fault = None if isinstance(batch, Success) else batch.failure()
    if fault is StoreFault.compacted and await _list_all(kv, synchronizer):
        return
    await asyncio.sleep(RETRY_DELAY_SECONDS)


def _parse_batch(batch: Batch) -> tuple[int, list[Change]]:
    changes = [
        Change(front_name(key), revision, text)
        for key, text, revision in batch.entries
    ]
    return batch.revision, changes


def _report_result(adopted: list[AppliedChange] | None) -> bool:
    if adopted is None:
        STORE_REGRESSIONS.inc()
        return False
    report_adopted(adopted)
    return True
