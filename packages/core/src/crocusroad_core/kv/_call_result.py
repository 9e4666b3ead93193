"""The results of calls to the KV."""

from enum import StrEnum
from typing import NamedTuple


class ReadReply(NamedTuple):
    """The reply to a read; an absent key has revision 0 and no value."""

    revision: int
    value: str | None


class Swapped(NamedTuple):
    """A compare-and-swap that took effect."""

    revision: int


class CallFault(StrEnum):
    """The reason why a call to the KV failed."""

    conflict = 'conflict'  # the key has another revision
    refused = 'refused'  # the call had no effect and never will
    lost = 'lost'  # no reply; a write may take effect now or later
    lease_gone = 'lease-gone'  # the lease has expired; nothing was written


CallResult = ReadReply | Swapped | CallFault
