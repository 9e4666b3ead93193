"""The budget of extra load on the upstreams."""

from typing import Final

from crocusroad_core.gather import FailureReason

BURST_ATTEMPTS: Final = 10.0

_FREE_RETRY: Final = frozenset(
    (
        FailureReason.connect_refused,
        FailureReason.connect_timeout,
        FailureReason.no_connection,
    ),
)


class Budget:
    """Extra attempts allowed, as a share of the first attempts.

    Over any stretch of its history the extra attempts are at most `burst`
    plus `share` times the first attempts of that stretch. Time alone earns
    nothing, so the bound also holds when few first attempts are sent.
    """

    def __init__(self, share: float, burst: float = BURST_ATTEMPTS) -> None:
        self._share = share
        self._burst = burst
        self._left = burst
        self._unsent = 0  # extra attempts taken and not yet sent

    def on_first(self, now: float) -> None:
        """Earn a share of an attempt by a first attempt."""
        self._left = min(self._burst, self._left + self._share)

    def spend(self, now: float) -> bool:
        """Take one extra attempt; False if none is left."""
        if self._left < 1:
            return False
        self._left -= 1
        self._unsent += 1
        return True

    def on_sent(self, now: float) -> None:
        """Take an attempt that is sent; the extra ones earn nothing."""
        if self._unsent:
            self._unsent -= 1
        else:
            self.on_first(now)


def is_free_retry(reason: FailureReason) -> bool:
    """Tell whether a retry after `reason` adds no load to the upstreams.

    True only where no request reached an upstream. A refusal by an upstream
    cost it work and is counted against the budget.
    """
    return reason in _FREE_RETRY
