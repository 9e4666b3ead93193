"""Claiming of an action by compare-and-swap."""

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
    """One attempt to claim an action.

    The outcome is `held` only if the KV has confirmed the claim. A claim is
    never taken over: an action may be claimed again only if its holder
    recorded that it has not run it and never will.
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
        wall_time: float,
    ) -> ClaimCommand:
        """Return the next command after a call to the KV.

        Args:
            event: The result of the call.
            now: Seconds on the clock of the deadline.
            wall_time: Seconds since the epoch.
        """
        if isinstance(event, Swapped):
            return ClaimDone(ClaimOutcome.held, event.revision)
        command = self._next_command(event, wall_time)
        if now >= self._deadline and not isinstance(command, ClaimDone):
            return ClaimDone(ClaimOutcome.unavailable)
        return command

    def _next_command(
        self, event: CallResult, wall_time: float
    ) -> ClaimCommand:
        if isinstance(event, ReadReply):
            return self._on_read(event, wall_time)
        if event is CallFault.lease_gone:
            return RenewLease(self._swap)
        delay = 0 if event is CallFault.conflict else RETRY_SECONDS
        return ReadClaim(delay)

    def _on_read(self, reply: ReadReply, wall_time: float) -> ClaimCommand:
        if reply.value is None:
            self._swap = self._swap._replace(expected=0)
            return self._swap
        try:
            existing = decode_claim(reply.value)
        except msgspec.DecodeError:
            return ClaimDone(ClaimOutcome.unknown)
        return self._resolve(reply.revision, existing, wall_time)

    def _resolve(
        self,
        revision: int,
        existing: ClaimRecord,
        wall_time: float,
    ) -> ClaimCommand:
        if existing['write_id'] == self._record['write_id']:
            return ClaimDone(ClaimOutcome.held, revision)
        if existing['body_sha256'] != self._record['body_sha256']:
            return ClaimDone(ClaimOutcome.reused)
        if existing['state'] is ClaimState.not_run:
            self._swap = self._swap._replace(expected=revision)
            return self._swap
        return _existing_outcome(existing, wall_time)


def _existing_outcome(existing: ClaimRecord, wall_time: float) -> ClaimDone:
    answer = existing.get('answer')
    if answer is not None:
        return ClaimDone(ClaimOutcome.recorded, answer=answer)
    is_open = existing['state'] is ClaimState.claimed
    if is_open and wall_time < existing['not_after'] + MAX_CLOCK_SKEW_SECONDS:
        return ClaimDone(ClaimOutcome.in_progress)
    return ClaimDone(ClaimOutcome.unknown)
