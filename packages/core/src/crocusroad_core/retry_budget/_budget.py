"""An instance's part of the repeats that a service may get."""

from typing import Final, NamedTuple

# Part of the bound that is used. The rest is for instances that restart: each
# begins with a quarter of its part, so that a whole fleet may restart once in
# a window.
USED_SHARE: Final = 0.8
START_SHARE: Final = 0.25
# Of an instance's part of the slack, what may be saved up. The rest comes back
# with time: troubles outlast a window, and the slack is there in each one.
SAVED_SHARE: Final = 0.5
# Repeats that may be saved up at least, where the part is that large: less
# than one would never be spent.
LEAST_SAVED: Final = 1.2
# Tokens below which there is none to spend on what is merely likely.
PLENTY: Final = 2.0
LEAST_INSTANCES: Final = 8  # to share the fixed part among until counted


class RetryBounds(NamedTuple):
    """The repeats that a service may get, over all instances.

    In any window: `share` times the requests for it, and `slack` more.
    """

    ratio: float
    slack: float
    window_seconds: float  # seconds


class _Account(NamedTuple):
    tokens: float
    at: float  # seconds; when they were counted
    spent_at: float  # seconds; when one was last taken


class RetryBudget:
    """Tokens for repeats by service.

    Each request for a service earns a share of a token, and time brings some
    back. What is saved up and what time brings in a window are together this
    instance's part of the slack, so that over any window the repeats are at
    most that part plus the share of the window's requests. Where none was
    taken for a whole window, all that may be saved up is there again: a small
    part would else never come to one repeat.
    """

    def __init__(self, bounds: RetryBounds, now: float) -> None:
        self._bounds = bounds
        self._began = now
        self._instances: float = LEAST_INSTANCES
        self._accounts: dict[str, _Account] = {}
        self._apply_bounds()

    def set_instances(self, count: int, weight: float = 1) -> None:
        """Take how many instances share the slack, and this one's weight.

        The weights of all of them add up to their number.
        """
        self._instances = max(LEAST_INSTANCES, count) / weight
        self._apply_bounds()

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Take other bounds."""
        self._bounds = bounds
        self._apply_bounds()

    def earn(self, service: str, now: float) -> None:
        """Count a request for a service."""
        earned = self._saved(service, now) + self._earned
        spent_at = self._spent_at(service)
        account = _Account(min(earned, self._most), now, spent_at)
        self._accounts[service] = account

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat; False if there is none left."""
        saved = self._saved(service, now)
        if saved < 1:
            return False
        self._accounts[service] = _Account(saved - 1, now, now)
        return True

    def is_scarce(self, service: str, now: float) -> bool:
        """Tell whether a repeat would leave little or none for the next."""
        return self._saved(service, now) < max(PLENTY, self._most / 2)

    def _apply_bounds(self) -> None:
        """Work out this instance's part of the bounds."""
        bounds = self._bounds
        part = bounds.slack * USED_SHARE / self._instances
        self._first = part * START_SHARE
        self._most = min(part, max(part * SAVED_SHARE, LEAST_SAVED))
        self._back = (
            part - self._most
        ) / bounds.window_seconds  # tokens a second
        self._earned = bounds.ratio * USED_SHARE  # tokens a request

    def _saved(self, service: str, now: float) -> float:
        if now - self._spent_at(service) > self._bounds.window_seconds:
            return self._most
        account = self._accounts.get(service)
        if account is None:
            return self._first
        passed = now - account.at
        if passed <= 0:
            return account.tokens
        return min(self._most, account.tokens + self._back * passed)

    def _spent_at(self, service: str) -> float:
        # An earlier start of this instance may have spent all just before.
        account = self._accounts.get(service)
        return self._began if account is None else account.spent_at
