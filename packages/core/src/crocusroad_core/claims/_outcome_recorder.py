"""Recording of the outcome of an action in its claim."""

from crocusroad_core.claims._claim_command import SwapClaim
from crocusroad_core.kv import CallFault, CallResult, Swapped


class OutcomeRecorder:
    """Replaces a claim by its outcome, repeating the swap until it succeeds.

    Only the holder of a claim records its outcome. Repeating the swap is
    safe, because it replaces one revision and so takes effect only once. A
    conflict means that an earlier attempt took effect.
    """

    def __init__(self, value: str, revision: int, deadline: float) -> None:
        self._swap = SwapClaim(value, revision)
        self._deadline = deadline

    def begin(self) -> SwapClaim:
        """Return the first command."""
        return self._swap

    def on_event(self, event: CallResult, now: float) -> SwapClaim | None:
        """Return the next command after a KV call, or None at the end."""
        if isinstance(event, Swapped) or event is CallFault.conflict:
            return None
        return self._swap if now < self._deadline else None
