"""The retry budgets of all services."""

from collections.abc import Callable

from crocusroad_core.retry_budget._budget import RetryBounds, RetryBudget


class RetryBudgets:
    """One budget for the shards of fan-outs and one for all other services.

    They are separate because an instance's share of the fan-outs differs from
    its share of the requests to one replica.
    """

    def __init__(
        self,
        bounds: RetryBounds,
        is_shard: Callable[[str], bool],
        now: float,
    ) -> None:
        self._is_shard = is_shard
        self._shard_budget = RetryBudget(bounds, now)
        self._other_budget = RetryBudget(bounds, now)

    def set_instances(self, count: int, fan_out_weight: float) -> None:
        """Set the number of instances and this one's weight in fan-outs."""
        self._other_budget.set_instances(count)
        self._shard_budget.set_instances(count, fan_out_weight)

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Replace the bounds."""
        self._shard_budget.set_bounds(bounds)
        self._other_budget.set_bounds(bounds)

    def earn(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self.budget(service).earn(service, now)

    def spend(self, service: str, now: float) -> bool:
        """Spend one token; return False if none is available."""
        return self.budget(service).spend(service, now)

    def available(self, service: str, now: float) -> float:
        """Return how many tokens may be spent now."""
        return self.budget(service).available(service, now)

    def is_scarce(self, service: str, now: float) -> bool:
        """Tell whether a retry would leave few or no tokens for the next."""
        return self.budget(service).is_scarce(service, now)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        return (
            self._shard_budget
            if self._is_shard(service)
            else self._other_budget
        )
