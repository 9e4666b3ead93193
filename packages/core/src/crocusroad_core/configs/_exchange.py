"""The exchange of configuration between nodes."""

from typing import NamedTuple, TypedDict

import msgspec

from crocusroad_core.configs._change import Change
from crocusroad_core.configs._registry import FrontRegistry
from crocusroad_core.configs._synchronizer import AppliedChange

EXPORT_BYTES = 2_000_000  # of values in one payload, but for a single change


class ChangeExport(TypedDict):
    """The changes after one position, up to another."""

    after: int
    upto: int
    changes: list[Change]
    is_last: bool  # false: ask again after `upto`
    is_synced: bool  # the sender had every front as of `upto`


class ImportResult(NamedTuple):
    """What a payload brought."""

    applied: list[AppliedChange]
    is_last: bool


def export_changes(
    book: FrontRegistry,
    after: int,
    max_bytes: int = EXPORT_BYTES,
) -> bytes:
    """Return the newest change of each front after a position.

    Deleted fronts and values refused here are included, so that the receiver
    checks them by itself.
    """
    due = [
        one
        for one in book.newest_changes()
        if after < one.revision <= book.position
    ]
    batch = _within(due, max_bytes)
    is_last = len(batch) == len(due)
    payload = ChangeExport(
        after=after,
        upto=book.position if is_last else batch[-1].revision,
        changes=batch,
        is_last=is_last,
        is_synced=book.is_synced,
    )
    return msgspec.msgpack.encode(payload)


def import_changes(book: FrontRegistry, raw: bytes) -> ImportResult:
    """Adopt what a peer exported, upwards only.

    Raises:
        msgspec.DecodeError: The payload is malformed; nothing was adopted.
    """
    payload = msgspec.msgpack.decode(raw, type=ChangeExport)
    adopted = [
        AppliedChange(one, book.adopt(one)) for one in payload['changes']
    ]
    if payload['after'] <= book.position:
        book.advance(payload['upto'])
        if payload['is_synced'] and payload['is_last']:
            book.mark_synced()
    return ImportResult(adopted, payload['is_last'])


def _within(due: list[Change], max_bytes: int) -> list[Change]:
    batch: list[Change] = []
    size = 0
    for one in due:
        size += len(one.value or '')
        if batch and size > max_bytes:
            break
        batch.append(one)
    return batch
