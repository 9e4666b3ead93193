"""Entries of the KV."""

from typing import NamedTuple


class Entry(NamedTuple):
    """A key of the KV with its value and revision."""

    key: str
    value: str | None  # None if the key was deleted
    revision: int  # of the store at the last change of the key


class LeasedEntry(NamedTuple):
    """An entry and the lease at whose end the store removes it."""

    entry: Entry
    lease: str  # ID; empty: none
