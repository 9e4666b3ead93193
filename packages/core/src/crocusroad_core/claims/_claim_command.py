"""What a claim asks of the node that drives it."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_wire import Answer


class ClaimOutcome(StrEnum):
    """How an attempt to claim an action ended."""

    held = 'held'  # this node may run it, once
    recorded = 'recorded'  # it ran before; the answer is at hand
    unknown = 'unknown'  # it may have run before
    in_progress = 'in-progress'  # another request with the key runs it
    reused = 'reused'  # the key belongs to another body
    unavailable = 'unavailable'  # not claimed; this node does not run it


class ReadClaim(NamedTuple):
    """Read the claim."""

    delay: float = 0  # seconds to wait before


class SwapClaim(NamedTuple):
    """Write the claim if its revision is `expected`, under a lease."""

    value: str
    expected: int  # 0: if there is none


class RenewLease(NamedTuple):
    """Grant a new lease, then write the claim."""

    swap: SwapClaim


class ClaimDone(NamedTuple):
    """The attempt to claim is over."""

    outcome: ClaimOutcome
    revision: int = 0  # of the claim that this node holds
    answer: Answer | None = None


ClaimCommand = ReadClaim | SwapClaim | RenewLease | ClaimDone
