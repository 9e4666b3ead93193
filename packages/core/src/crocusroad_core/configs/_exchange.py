"""The exchange of configuration between nodes."""

from typing import NamedTuple, TypedDict

import msgspec

from crocusroad_core.configs._change import Change
from crocusroad_core.configs._registry import FrontRegistry
from crocusroad_core.configs._synchronizer import AppliedChange

# Limit on the values in one payload; a single larger change is still sent.
MAX_EXPORT_BYTES = 2_000_000


class ChangeExport(TypedDict):
    """The changes after one position, up to and including another."""

    after: int
    upto: int
    changes: list[Change]
    is_last: bool  # if false, the rest is available after `upto`
    is_synced: bool  # whether the sender had every front as of `upto`


class ImportResult(NamedTuple):
    """The outcome of importing a payload."""

    applied: list[AppliedChange]
    is_last: bool


def export_changes(
    registry: FrontRegistry,
    after: int,
    max_bytes: int = MAX_EXPORT_BYTES,
) -> bytes:
    """Return the newest change of each front after a position.

    Deleted fronts and values that are invalid here are included, so that the
    receiver validates them itself.
    """
    pending = [
        change
        for change in registry.newest_changes()
        if after < change.revision <= registry.position
    ]
    batch = _limit_size(pending, max_bytes)
    is_last = len(batch) == len(pending)
    payload = ChangeExport(
        after=after,
        upto=registry.position if is_last else batch[-1].revision,
        changes=batch,
        is_last=is_last,
        is_synced=registry.is_synced,
    )
    return msgspec.msgpack.encode(payload)


def import_changes(registry: FrontRegistry, raw: bytes) -> ImportResult:
    """Adopt the changes that a peer exported; older ones are ignored.

    Raises:
        msgspec.DecodeError: The payload is malformed; nothing was adopted.
    """
    payload = msgspec.msgpack.decode(raw, type=ChangeExport)
    applied = [
        AppliedChange(change, registry.adopt(change))
        for change in payload['changes']
    ]
    if payload['after'] <= registry.position:
        registry.advance(payload['upto'])
        if payload['is_synced'] and payload['is_last']:
            registry.mark_synced()
    return ImportResult(applied, payload['is_last'])


def _limit_size(changes: list[Change], max_bytes: int) -> list[Change]:
    batch: list[Change] = []
    size = 0
    for change in changes:
        size += len(change.value or '')
        if batch and size > max_bytes:
            break
        batch.append(change)
    return batch
