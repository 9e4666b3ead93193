"""What the KV answers."""

from typing import NamedTuple

from crocusroad_core.kv import Entry


class Batch(NamedTuple):
    """The changes of some keys up to a revision of the store."""

    revision: int
    entries: list[Entry]
    age: float = 0  # seconds since the store itself said so
