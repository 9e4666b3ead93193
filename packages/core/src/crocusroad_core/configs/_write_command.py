"""What a write asks of the node that drives it."""

from enum import StrEnum
from typing import NamedTuple


class WriteOutcome(StrEnum):
    """How a write ended."""

    accepted = 'accepted'  # it took effect, whatever came after
    conflict = 'conflict'  # another write stands; this one never takes effect
    absent = 'absent'  # there is nothing to delete
    unavailable = 'unavailable'  # nothing was written
    unknown = 'unknown'  # it may have taken effect, or may yet
    foreign = 'foreign'  # the key holds something else; nothing was written


class ReadKey(NamedTuple):
    """Read the key."""

    delay: float = 0  # seconds to wait before


class SwapKey(NamedTuple):
    """Write the key if its revision is `expected`."""

    value: str
    expected: int  # 0: if the key is absent


class WriteDone(NamedTuple):
    """The write is over."""

    outcome: WriteOutcome
    revision: int  # accepted: of this write; conflict: the one that stands


WriteCommand = ReadKey | SwapKey | WriteDone
