"""The share of one instance in the retry budgets of services."""

from typing import Final, NamedTuple

from crocusroad_core.retry_budget._recent_charges import RecentCharges
from crocusroad_core.retry_budget._recent_count import RecentCount

# Ratio of the bounds that instances use. The rest covers requests that are
# counted in another window than their retries.
USED_RATIO: Final = 0.8
# The retries of the previous process of this instance may still arrive, so an
# instance starts with a part of its slack.
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
# Windows in which a retry counts whose arrival is not known: the one before it
# may still arrive and the one after that.
UNKNOWN_ARRIVAL_WINDOWS: Final = 2
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


class _Account:
    __slots__ = ('charges', 'counted_at', 'requests', 'spent_at', 'tokens')

    def __init__(self, tokens: float, now: float, spent_at: float) -> None:
        self.tokens = tokens
        self.counted_at = now  # seconds; when `tokens` was computed
        self.spent_at = spent_at  # seconds; when a token was last spent
        self.requests = RecentCount()
        self.charges = RecentCharges()


class RetryBudget:
    """Token buckets for retries, one for each service.

    Each request for a service earns a fraction of a token, and further tokens
    are refilled over time. The capacity plus the refill of one window is this
    instance's share of the slack. Over any window the retries are therefore
    at most that share plus `ratio` times the requests in the window. The same
    holds for their arrivals: retries that may yet arrive count as well.

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
        account = self._update(service, now)
        account.tokens = min(
            account.tokens + self._tokens_per_request, self._capacity
        )
        account.requests.add(now, self._bounds.window_seconds)

    def spend(self, service: str, now: float) -> bool:
        """Spend one token; return False if none is available.

        Every token that is spent has to be settled once.
        """
        if self.available(service, now) < 1:
            return False
        account = self._update(service, now)
        account.tokens -= 1
        account.spent_at = now
        account.charges.add()
        return True

    def settle(self, service: str, now: float, *, has_arrived: bool) -> None:
        """Record the end of a retry that a token was spent on.

        Without `has_arrived`, the retry may reach its replica later.
        """
        windows = 1 if has_arrived else UNKNOWN_ARRIVAL_WINDOWS
        until = now + windows * self._bounds.window_seconds
        self._update(service, now).charges.settle(until)

    def available(self, service: str, now: float) -> float:
        """Return how many tokens may be spent now."""
        account = self._accounts.get(service)
        tokens = self._refilled(account, now)
        if account is None:
            return tokens
        return min(tokens, self._headroom(account, now))

    def is_scarce(self, service: str, now: float) -> bool:
        """Tell whether a retry would leave few or no tokens for the next."""
        return self.available(service, now) < max(
            MIN_SPECULATIVE_TOKENS, self._capacity / 2
        )

    def _apply_bounds(self) -> None:
        """Compute this instance's share of the bounds."""
        bounds = self._bounds
        slack = bounds.slack * USED_RATIO / self._effective_instances
        self._slack = slack
        self._initial_tokens = slack * INITIAL_RATIO
        self._capacity = min(
            slack, max(slack * CAPACITY_RATIO, MIN_CAPACITY_TOKENS)
        )
        self._tokens_per_second = (
            slack - self._capacity
        ) / bounds.window_seconds
        self._tokens_per_request = bounds.ratio * USED_RATIO

    def _update(self, service: str, now: float) -> _Account:
        """Return the account of a service with the tokens of now."""
        account = self._accounts.get(service)
        if account is None:
            account = _Account(self._refilled(None, now), now, self._started_at)
            self._accounts[service] = account
            return account
        account.tokens = self._refilled(account, now)
        account.counted_at = max(account.counted_at, now)
        return account

    def _headroom(self, account: _Account, now: float) -> float:
        """Return how many more retries may arrive in a window of now."""
        requests = account.requests.total(now, self._bounds.window_seconds)
        allowed = self._slack + self._tokens_per_request * requests
        return allowed - account.charges.total(now)

    def _refilled(self, account: _Account | None, now: float) -> float:
        # Without an account, the start time is used: the previous process of
        # this instance may have spent all tokens just before.
        spent_at = self._started_at if account is None else account.spent_at
        if now - spent_at > self._bounds.window_seconds:
            return self._capacity
        if account is None:
            tokens, counted_at = self._initial_tokens, self._started_at
        else:
            tokens, counted_at = account.tokens, account.counted_at
        elapsed = max(0, now - counted_at)
        return min(self._capacity, tokens + self._tokens_per_second * elapsed)
