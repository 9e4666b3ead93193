"""What the KV holds."""

from typing import NamedTuple


class Entry(NamedTuple):
    """One key of the KV."""

    key: str
    value: str | None  # None: the key was deleted
    revision: int  # of the store, at the last change of the key


class Batch(NamedTuple):
    """The changes of some keys up to a revision of the store."""

    revision: int
    entries: list[Entry]
