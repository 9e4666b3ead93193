"""The budgets of all services: those of shards, and the others."""

from collections.abc import Callable

from crocusroad_core.retry_budget._budget import RetryBounds, RetryBudget


class RetryBudgets:
    """A budget for shards of fan-outs, and one for all other services.

    Instances have other parts in the fan-outs than in requests to one replica.
    """

    def __init__(
        self,
        bounds: RetryBounds,
        is_shard: Callable[[str], bool],
        now: float,
    ) -> None:
        self._is_shard = is_shard
        self._shards = RetryBudget(bounds, now)
        self._others = RetryBudget(bounds, now)

    def set_instances(self, count: int, fan_out_weight: float) -> None:
        """Take how many instances there are, and this one's weight."""
        self._others.set_instances(count)
        self._shards.set_instances(count, fan_out_weight)

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Take other bounds."""
        self._shards.set_bounds(bounds)
        self._others.set_bounds(bounds)

    def earn(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._budget(service).earn(service, now)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat; False if there is none left."""
        return self._budget(service).spend(service, now)

    def is_scarce(self, service: str, now: float) -> bool:
        """Tell whether a repeat would leave little or none for the next."""
        return self._budget(service).is_scarce(service, now)

    def _budget(self, service: str) -> RetryBudget:
        return self._shards if self._is_shard(service) else self._others
