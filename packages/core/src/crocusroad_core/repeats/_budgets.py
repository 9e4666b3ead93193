"""The budgets of all services: those of shards, and the others."""

from collections.abc import Callable

from crocusroad_core.repeats._budget import RepeatBounds, RepeatBudget


class RepeatBudgets:
    """A budget for shards of fan-outs, and one for all other services.

    Instances have other parts in the fan-outs than in requests to one replica.
    """

    def __init__(
        self,
        bounds: RepeatBounds,
        is_shard: Callable[[str], bool],
        now: float,
    ) -> None:
        self._is_shard = is_shard
        self._shards = RepeatBudget(bounds, now)
        self._others = RepeatBudget(bounds, now)

    def on_instances(self, count: int, fan_out_weight: float) -> None:
        """Take how many instances there are, and this one's weight."""
        self._others.on_instances(count)
        self._shards.on_instances(count, fan_out_weight)

    def on_bounds(self, bounds: RepeatBounds) -> None:
        """Take other bounds."""
        self._shards.on_bounds(bounds)
        self._others.on_bounds(bounds)

    def earn(self, service: str, now: float) -> None:
        """Count a request for a service."""
        self._budget(service).earn(service, now)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat; False if there is none left."""
        return self._budget(service).spend(service, now)

    def is_scarce(self, service: str, now: float) -> bool:
        """Tell whether a repeat would leave little or none for the next."""
        return self._budget(service).is_scarce(service, now)

    def _budget(self, service: str) -> RepeatBudget:
        return self._shards if self._is_shard(service) else self._others
