"""Batches of entries that the KV returns."""

from typing import NamedTuple

from crocusroad_core.kv import Entry


class Batch(NamedTuple):
    """The entries or changes below a prefix, up to a revision of the store."""

    revision: int
    entries: list[Entry]
    age: float = 0  # seconds since the store itself returned it
