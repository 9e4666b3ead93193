"""Changes of fronts and their outcomes."""

from enum import StrEnum
from typing import NamedTuple


class Change(NamedTuple):
    """The value of a front's key at a revision of the KV."""

    name: str
    revision: int
    value: str | None  # None if the key itself does not exist


class Adoption(StrEnum):
    """The outcome of applying a change on a node."""

    adopted = 'adopted'  # the front is active at the new revision
    removed = 'removed'  # the front is no longer active
    old = 'old'  # the same or a newer revision was known
    invalid = 'invalid'  # the value is invalid; the previous front stays active


class FrontEvent(NamedTuple):
    """An entry of the stream of changes that operators watch."""

    name: str
    revision: int
    adoption: Adoption
