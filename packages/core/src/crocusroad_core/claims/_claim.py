"""The claim of one action."""

import msgspec

from crocusroad_core.claims._claim_command import (
    ClaimCommand,
    ClaimDone,
    ClaimOutcome,
    ReadClaim,
    RenewLease,
    SwapClaim,
)
from crocusroad_core.claims._key import MAX_CLOCK_SKEW_SECONDS
from crocusroad_core.claims._record import (
    ClaimRecord,
    ClaimState,
    decode_claim,
    encode_claim,
)
from crocusroad_core.kv import CallFault, CallResult, ReadReply, Swapped

RETRY_SECONDS = 0.05


class Claim:
    """One attempt to claim an action; `held` only if the claim is known.

    A claim is never taken over: only a claim whose holder recorded that it
    did not run it, and never will, may be claimed again.
    """

    def __init__(self, record: ClaimRecord, deadline: float) -> None:
        self._record = record
        self._deadline = deadline
        self._swap = SwapClaim(encode_claim(record), expected=0)

    def begin(self) -> ClaimCommand:
        """Return the first command."""
        return self._swap

    def on_event(
        self,
        event: CallResult,
        now: float,
        wall: float,
    ) -> ClaimCommand:
        """Return what to do after a call to the KV has ended.

        Args:
            event: What the call brought.
            now: Seconds, on the clock of the deadline.
            wall: Seconds since the epoch.
        """
        if isinstance(event, Swapped):
            return ClaimDone(ClaimOutcome.held, event.revision)
        command = self._go_on(event, wall)
        if now >= self._deadline and not isinstance(command, ClaimDone):
            return ClaimDone(ClaimOutcome.unavailable)
        return command

    def _go_on(self, event: CallResult, wall: float) -> ClaimCommand:
        if isinstance(event, ReadReply):
            return self._on_found(event, wall)
        if event is CallFault.lease_gone:
            return RenewLease(self._swap)
        delay = 0 if event is CallFault.conflict else RETRY_SECONDS
        return ReadClaim(delay)

    def _on_found(self, found: ReadReply, wall: float) -> ClaimCommand:
        if found.value is None:
            self._swap = self._swap._replace(expected=0)
            return self._swap
        try:
            standing = decode_claim(found.value)
        except msgspec.DecodeError:
            return ClaimDone(ClaimOutcome.unknown)
        return self._compare(found.revision, standing, wall)

    def _compare(
        self,
        revision: int,
        standing: ClaimRecord,
        wall: float,
    ) -> ClaimCommand:
        if standing['write_id'] == self._record['write_id']:
            return ClaimDone(ClaimOutcome.held, revision)
        if standing['body_sha256'] != self._record['body_sha256']:
            return ClaimDone(ClaimOutcome.reused)
        if standing['state'] is ClaimState.not_run:
            self._swap = self._swap._replace(expected=revision)
            return self._swap
        return _judge(standing, wall)


def _judge(standing: ClaimRecord, wall: float) -> ClaimDone:
    answer = standing.get('answer')
    if answer is not None:
        return ClaimDone(ClaimOutcome.recorded, answer=answer)
    is_open = standing['state'] is ClaimState.claimed
    if is_open and wall < standing['not_after'] + MAX_CLOCK_SKEW_SECONDS:
        return ClaimDone(ClaimOutcome.in_progress)
    return ClaimDone(ClaimOutcome.unknown)
