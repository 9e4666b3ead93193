"""Commands that a claim returns to the node that executes them."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_wire import Answer


class ClaimOutcome(StrEnum):
    """How an attempt to claim an action ended."""

    held = 'held'  # this node may run it once
    recorded = 'recorded'  # it ran before; the answer is in the claim
    unknown = 'unknown'  # it may have run before
    in_progress = 'in-progress'  # another request with the key is running it
    reused = 'reused'  # the key was used with another body
    unavailable = 'unavailable'  # not claimed; this node must not run it


class ReadClaim(NamedTuple):
    """A command to read the claim."""

    delay: float = 0  # seconds to wait before the read


class SwapClaim(NamedTuple):
    """A compare-and-swap of the claim, attached to the current lease."""

    value: str
    expected: int  # revision to replace; 0 to create the claim


class RenewLease(NamedTuple):
    """A command to obtain a new lease, then write the claim."""

    swap: SwapClaim


class ClaimDone(NamedTuple):
    """The end of an attempt to claim an action."""

    outcome: ClaimOutcome
    revision: int = 0  # of the claim, if this node holds it
    answer: Answer | None = None


ClaimCommand = ReadClaim | SwapClaim | RenewLease | ClaimDone
