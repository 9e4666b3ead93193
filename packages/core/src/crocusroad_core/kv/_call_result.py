"""What a call to the KV brought, as the decisions see it."""

from enum import StrEnum
from typing import NamedTuple


class ReadReply(NamedTuple):
    """A read was answered; an absent key has revision 0 and no value."""

    revision: int
    value: str | None


class Swapped(NamedTuple):
    """A compare-and-swap took effect."""

    revision: int


class CallFault(StrEnum):
    """Why a call to the KV brought nothing."""

    conflict = 'conflict'  # another revision stands
    refused = 'refused'  # the call had no effect and never will
    lost = 'lost'  # no reply; a write may take effect, now or later
    lease_gone = 'lease-gone'  # the lease has lapsed; nothing was written


CallResult = ReadReply | Swapped | CallFault
