"""Adoption of fronts from the KV."""

import asyncio
import logging
from collections.abc import Callable

from returns.result import Success

from crocusroad_core.configs import FrontBook
from crocusroad_core.fronts import build_front
from crocusroad_node.configs._keys import FRONTS_PREFIX, front_name
from crocusroad_node.counters import REVISION
from crocusroad_node.logs import note
from crocusroad_node.platform import Batch, Entry, KeyValue
from crocusroad_wire import DecodeError, FrontSpec, decode_json

WATCH_SECONDS = 20.0
RETRY_SECONDS = 0.5

_logger = logging.getLogger(__name__)


async def watch_fronts(
    kv: KeyValue,
    book: FrontBook,
    on_synced: Callable[[], None],
) -> None:
    """Adopt every change of the fronts, for ever."""
    revision = await _list_all(kv, book)
    on_synced()
    while True:
        batch = await kv.watch(FRONTS_PREFIX, revision, WATCH_SECONDS)
        if isinstance(batch, Success):
            revision = _adopt_all(book, batch.unwrap())
        else:
            await asyncio.sleep(RETRY_SECONDS)


async def _list_all(kv: KeyValue, book: FrontBook) -> int:
    while True:
        batch = await kv.list(FRONTS_PREFIX)
        if isinstance(batch, Success):
            return _adopt_all(book, batch.unwrap())
        await asyncio.sleep(RETRY_SECONDS)


def _adopt_all(book: FrontBook, batch: Batch) -> int:
    for entry in batch.entries:
        _adopt(book, entry)
    return batch.revision


def _adopt(book: FrontBook, entry: Entry) -> None:
    name = front_name(entry.key)
    if entry.value is None:
        book.remove(name, entry.revision)
        return
    try:
        spec = decode_json(FrontSpec, entry.value.encode())
    except DecodeError as exc:
        note(_logger, 'front refused', front=name, error=str(exc))
        return
    if book.adopt(build_front(name, entry.revision, spec)):
        REVISION.labels(name).set(entry.revision)
        note(_logger, 'front adopted', front=name, revision=entry.revision)
