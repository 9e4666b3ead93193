"""What the KV holds."""

from typing import NamedTuple


class Entry(NamedTuple):
    """One key of the KV."""

    key: str
    value: str | None  # None: the key was deleted
    revision: int  # of the store, at the last change of the key
