"""The value of a front's key in the KV."""

from typing import NamedTuple, TypedDict

import msgspec

from crocusroad_wire import FrontSpec

MAX_LINEAGE_LENGTH = 32  # writes


class Ancestor(NamedTuple):
    """One write of a key: which revision it replaced, and its id."""

    base: int  # 0: it created the key
    write_id: str


class StoredFront(TypedDict):
    """A front as the KV holds it; a deleted front keeps its key.

    The lineage names this write first and then the ones before it. As a
    compare-and-swap has one winner for each base, the lineage tells for every
    base that it reaches which write replaced it.
    """

    spec: FrontSpec | None  # None: the front is deleted
    lineage: list[Ancestor]


def encode_stored_front(
    spec: FrontSpec | None,
    this: Ancestor,
    before: list[Ancestor],
) -> str:
    """Return the text of a value that follows the writes `before`."""
    lineage = [this, *before][:MAX_LINEAGE_LENGTH]
    stored = StoredFront(spec=spec, lineage=lineage)
    return msgspec.json.encode(stored).decode()


def decode_stored_front(text: str) -> StoredFront:
    """Return the value that `text` holds.

    Raises:
        msgspec.DecodeError: The text is no stored front; the message names
            the path of the offending field.
    """
    return msgspec.json.decode(text, type=StoredFront)
