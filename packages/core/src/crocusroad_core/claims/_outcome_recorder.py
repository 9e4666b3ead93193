"""The recording of an action's outcome on its claim."""

from crocusroad_core.claims._claim_command import SwapClaim
from crocusroad_core.kv import CallFault, CallResult, Swapped


class OutcomeRecorder:
    """Writes an outcome over the claim; nobody but the holder does so.

    Sending the same swap again is safe: the claim's revision is replaced
    once. A conflict means that an earlier copy landed.
    """

    def __init__(self, value: str, revision: int, deadline: float) -> None:
        self._swap = SwapClaim(value, revision)
        self._deadline = deadline

    def begin(self) -> SwapClaim:
        """Return the first command."""
        return self._swap

    def on_event(self, event: CallResult, now: float) -> SwapClaim | None:
        """Return what to do after a call to the KV; None: it is over."""
        if isinstance(event, Swapped) or event is CallFault.conflict:
            return None
        return self._swap if now < self._deadline else None
