"""The steps that a write requests from the node that runs it."""

from enum import StrEnum
from typing import NamedTuple


class WriteOutcome(StrEnum):
    """The outcome of a write."""

    accepted = 'accepted'  # it took effect, whatever was written later
    conflict = 'conflict'  # another write won; this one never takes effect
    absent = 'absent'  # there is nothing to delete
    unavailable = 'unavailable'  # nothing was written
    unknown = 'unknown'  # it may have taken effect, or may still do so
    foreign = 'foreign'  # the key holds another kind of value; not written


class ReadKey(NamedTuple):
    """Read the key."""

    delay: float = 0  # seconds to wait first


class SwapKey(NamedTuple):
    """Write the key if its revision is `expected`."""

    value: str
    expected: int  # 0 if the key must be absent


class WriteDone(NamedTuple):
    """The write has ended."""

    outcome: WriteOutcome
    revision: int  # accepted: of this write; conflict: of the winning write


WriteCommand = ReadKey | SwapKey | WriteDone
