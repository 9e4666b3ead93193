"""The share of one instance in the retry budgets of services."""

from typing import Final, NamedTuple

# Ratio of the bounds that instances use. The rest covers restarts: an instance
# starts with a quarter of its slack, so the whole fleet may restart once in a
# window.
USED_RATIO: Final = 0.8
INITIAL_RATIO: Final = 0.25
# Ratio of an instance's slack that may be saved up. The rest is refilled over
# time: incidents last longer than a window, and the slack is granted in each
# window.
CAPACITY_RATIO: Final = 0.5
# Minimum capacity, if the instance's slack is that large. A capacity below one
# token could never be spent.
MIN_CAPACITY_TOKENS: Final = 1.2
# With fewer tokens than this, none is spent on attempts that are only likely
# to be needed.
MIN_SPECULATIVE_TOKENS: Final = 2.0
# The slack is divided among at least this many instances, also before they
# have been counted.
MIN_INSTANCES: Final = 8


class RetryBounds(NamedTuple):
    """The maximum number of retries to a service, over all instances.

    In any window: `ratio` times the requests for the service, plus `slack`.
    """

    ratio: float
    slack: float
    window_seconds: float


class _Account(NamedTuple):
    tokens: float
    counted_at: float  # seconds; when `tokens` was computed
    spent_at: float  # seconds; when a token was last spent


class RetryBudget:
    """Token buckets for retries, one for each service.

    Each request for a service earns a fraction of a token, and further tokens
    are refilled over time. The capacity plus the refill of one window is this
    instance's share of the slack. Over any window the retries are therefore
    at most that share plus `ratio` times the requests in the window.

    If no token was spent for a whole window, the bucket is full again.
    Otherwise a small share would never add up to one retry.
    """

    def __init__(self, bounds: RetryBounds, now: float) -> None:
        self._bounds = bounds
        self._started_at = now
        self._effective_instances: float = MIN_INSTANCES
        self._accounts: dict[str, _Account] = {}
        self._apply_bounds()

    def set_instances(self, count: int, weight: float = 1) -> None:
        """Set how many instances share the slack, and this one's weight.

        The weights of all instances add up to their number.
        """
        self._effective_instances = max(MIN_INSTANCES, count) / weight
        self._apply_bounds()

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds
        self._apply_bounds()

    def earn(self, service: str, now: float) -> None:
        """Count a request for a service."""
        tokens = self._available(service, now) + self._tokens_per_request
        spent_at = self._spent_at(service)
        account = _Account(min(tokens, self._capacity), now, spent_at)
        self._accounts[service] = account

    def spend(self, service: str, now: float) -> bool:
        """Spend one token; return False if none is available."""
        available = self._available(service, now)
        if available < 1:
            return False
        self._accounts[service] = _Account(available - 1, now, now)
        return True

    def available(self, service: str, now: float) -> float:
        """Return how many tokens are left."""
        return self._available(service, now)

    def is_scarce(self, service: str, now: float) -> bool:
        """Tell whether a retry would leave few or no tokens for the next."""
        return self._available(service, now) < max(
            MIN_SPECULATIVE_TOKENS, self._capacity / 2
        )

    def _apply_bounds(self) -> None:
        """Compute this instance's share of the bounds."""
        bounds = self._bounds
        slack = bounds.slack * USED_RATIO / self._effective_instances
        self._initial_tokens = slack * INITIAL_RATIO
        self._capacity = min(
            slack, max(slack * CAPACITY_RATIO, MIN_CAPACITY_TOKENS)
        )
        self._tokens_per_second = (
            slack - self._capacity
        ) / bounds.window_seconds
        self._tokens_per_request = bounds.ratio * USED_RATIO

    def _available(self, service: str, now: float) -> float:
        if now - self._spent_at(service) > self._bounds.window_seconds:
            return self._capacity
        account = self._accounts.get(service)
        if account is None:
            return self._initial_tokens
        elapsed = now - account.counted_at
        if elapsed <= 0:
            return account.tokens
        return min(
            self._capacity, account.tokens + self._tokens_per_second * elapsed
        )

    def _spent_at(self, service: str) -> float:
        # Without an account, the start time is used: the previous process of
        # this instance may have spent all tokens just before.
        account = self._accounts.get(service)
        return self._started_at if account is None else account.spent_at
