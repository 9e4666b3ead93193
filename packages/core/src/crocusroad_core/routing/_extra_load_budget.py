"""Budget of extra load on the upstreams."""

from typing import Final

BURST_ATTEMPTS: Final = 10.0

REPLACEMENT_BURST: Final = 50.0  # attempts
REPLACEMENT_SHARE: Final = 0.01  # of the first attempts


class ExtraLoadBudget:
    """Token bucket for extra attempts, filled by first attempts.

    Over any interval the extra attempts are at most `burst` plus `share` times
    the first attempts of that interval. Replacements of attempts that may have
    run are limited in the same way by an allowance of their own. Only first
    attempts add tokens; the passage of time does not.
    """

    def __init__(self, share: float, burst: float = BURST_ATTEMPTS) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst
        self._replacement_tokens = REPLACEMENT_BURST
        # Extra attempts that are allowed but not sent yet.
        self._unsent = 0

    @property
    def is_scarce(self) -> bool:
        """Whether less than half of the burst is left."""
        return self._tokens < self._burst / 2

    def on_first(self, now: float) -> None:
        """Add the tokens that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._share)
        refilled = self._replacement_tokens + REPLACEMENT_SHARE
        self._replacement_tokens = min(REPLACEMENT_BURST, refilled)

    def spend(self, now: float) -> bool:
        """Take a token for an extra attempt; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._unsent += 1
        return True

    def allow_replacement(self, may_have_run: bool, now: float) -> bool:
        """Allow a replacement attempt, which takes no token of the burst.

        If `may_have_run` is true, an earlier attempt may have run: the
        replacement is taken from the allowance, and False is
        returned if that is empty. Otherwise it is always allowed, and the
        caller must limit replacements to one attempt per refusal.
        """
        if may_have_run and self._replacement_tokens < 1:
            return False
        self._replacement_tokens -= may_have_run
        self._unsent += 1
        return True

    def on_sent(self, now: float) -> None:
        """Count an attempt that is sent.

        An attempt that was allowed as an extra one or as a replacement earns
        nothing. Any other attempt counts as a first attempt.
        """
        if self._unsent:
            self._unsent -= 1
        else:
            self.on_first(now)
