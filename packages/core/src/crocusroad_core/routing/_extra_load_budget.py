"""The budget of extra load on the upstreams."""

from typing import Final

BURST_ATTEMPTS: Final = 10.0

REPLACEMENT_BURST: Final = 50.0  # attempts
REPLACEMENT_SHARE: Final = 0.01  # of the first attempts


class ExtraLoadBudget:
    """Extra attempts allowed, as a share of the first attempts.

    Over any stretch of its history the charged attempts are at most `burst`
    plus `share` times the first attempts of that stretch; replacements of
    attempts that may have run are held likewise by an allowance of their own.
    Time alone earns nothing, and only first attempts earn.
    """

    def __init__(self, share: float, burst: float = BURST_ATTEMPTS) -> None:
        self._share = share
        self._burst = burst
        self._left = burst
        self._replacements = REPLACEMENT_BURST
        self._unsent = 0  # attempts that earn nothing, allowed and not sent

    @property
    def is_scarce(self) -> bool:
        """Tell whether less than half of the burst is left."""
        return self._left < self._burst / 2

    def on_first(self, now: float) -> None:
        """Earn shares of an attempt by a first attempt."""
        self._left = min(self._burst, self._left + self._share)
        earned = self._replacements + REPLACEMENT_SHARE
        self._replacements = min(REPLACEMENT_BURST, earned)

    def spend(self, now: float) -> bool:
        """Take one extra attempt; False if none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        self._unsent += 1
        return True

    def spend_replacement(self, has_run: bool, now: float) -> bool:
        """Allow an attempt free of charge; False if the allowance is empty.

        Where no attempt before it can have run, the caller answers for the
        bound: one attempt for one refusal.
        """
        if has_run and self._replacements < 1:
            return False
        self._replacements -= has_run
        self._unsent += 1
        return True

    def on_sent(self, now: float) -> None:
        """Take an attempt that is sent; only the first ones earn."""
        if self._unsent:
            self._unsent -= 1
        else:
            self.on_first(now)
