"""One change of a front."""

from enum import StrEnum
from typing import NamedTuple


class Change(NamedTuple):
    """The value of a front's key at a revision of the store."""

    name: str
    revision: int
    value: str | None  # None: the key itself is gone


class Adoption(StrEnum):
    """What became of a change."""

    adopted = 'adopted'  # the front is in force at the new revision
    removed = 'removed'  # the front is out of force
    old = 'old'  # the same or a newer revision was known
    invalid = 'invalid'  # the value has faults; the front before it stays


class FrontEvent(NamedTuple):
    """One entry of the stream of changes that operators watch."""

    name: str
    revision: int
    adoption: Adoption
