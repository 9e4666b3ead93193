"""Entries of the KV."""

from typing import NamedTuple


class Entry(NamedTuple):
    """A key of the KV with its value and revision."""

    key: str
    value: str | None  # None if the key was deleted
    revision: int  # of the store at the last change of the key
