"""The value of a front's key in the KV."""

from typing import NamedTuple, TypedDict

import msgspec

from crocusroad_wire import FrontSpec, decode_json

MAX_LINEAGE_LENGTH = 32  # writes


class LineageEntry(NamedTuple):
    """A write of a key: the revision that it replaced, and its id."""

    base: int  # 0 if it created the key
    write_id: str


class StoredFront(TypedDict):
    """A front as stored in the KV; a deleted front keeps its key.

    The lineage starts with the latest write and continues with the writes
    before it. As a compare-and-swap succeeds once for each base revision, the
    lineage states for every base that it contains which write replaced it.
    """

    spec: FrontSpec | None  # None if the front is deleted
    lineage: list[LineageEntry]


def encode_stored_front(
    spec: FrontSpec | None,
    write: LineageEntry,
    previous_writes: list[LineageEntry],
) -> str:
    """Return the text of the value that a write stores."""
    lineage = [write, *previous_writes][:MAX_LINEAGE_LENGTH]
    stored = StoredFront(spec=spec, lineage=lineage)
    return msgspec.json.encode(stored).decode()


def decode_stored_front(text: str) -> StoredFront:
    """Return the value that a text encodes.

    Raises:
        msgspec.DecodeError: The text is not a stored front; the message names
            the path of the offending field.
    """
    return decode_json(StoredFront, text)
