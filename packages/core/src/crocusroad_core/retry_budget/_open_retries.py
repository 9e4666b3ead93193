"""The retries of one query, until they are known to have arrived."""

from collections.abc import Iterable

from crocusroad_core.retry_budget._budget import RetryBudget
from crocusroad_core.retry_budget._budgets import RetryBudgets


class _OpenRetries:
    __slots__ = ('budget', 'count', 'has_arrived', 'serials')

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget
        self.count = 0  # tokens that are not settled
        self.serials: set[int] = set()  # of the attempts that have not ended
        self.has_arrived = True


class OpenRetries:
    """Spends tokens for one query, and settles them when its attempts end.

    Which of a shard's attempts arrives first is not known, so its tokens are
    settled when all of them have ended.
    """

    def __init__(self, budgets: RetryBudgets) -> None:
        self._budgets = budgets
        self._shards: dict[str, _OpenRetries] = {}

    def spend(self, shard: str, now: float) -> bool:
        """Spend one token; return False if none is available."""
        # The budget is kept: a service may become a shard or cease to be one.
        budget = self._budgets.budget(shard)
        if not budget.spend(shard, now):
            return False
        retries = self._shards.get(shard)
        if retries is None:
            retries = _OpenRetries(budget)
            self._shards[shard] = retries
        retries.count += 1
        return True

    def has(self, shard: str) -> bool:
        """Tell whether tokens of a shard are not settled."""
        return shard in self._shards

    def on_sent(self, shard: str, serials: Iterable[int]) -> None:
        """Record the attempts of a shard that are in flight."""
        retries = self._shards.get(shard)
        if retries is not None:
            retries.serials.update(serials)

    def on_end(
        self, shard: str, serial: int, now: float, *, has_arrived: bool
    ) -> None:
        """Record the end of an attempt.

        Without `has_arrived`, it may reach its replica later.
        """
        retries = self._shards.get(shard)
        if retries is None:
            return
        retries.serials.discard(serial)
        retries.has_arrived &= has_arrived
        if not retries.serials:
            self._settle(shard, now)

    def on_finish(self, now: float) -> None:
        """Settle the tokens that were spent on attempts never sent."""
        for shard, retries in tuple(self._shards.items()):
            if not retries.serials:
                self._settle(shard, now)

    def _settle(self, shard: str, now: float) -> None:
        retries = self._shards.pop(shard)
        for _ in range(retries.count):
            retries.budget.settle(shard, now, has_arrived=retries.has_arrived)
