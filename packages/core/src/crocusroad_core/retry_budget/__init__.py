"""The budget of repeats: each service's own, shared by all instances."""

from crocusroad_core.retry_budget._budget import RetryBounds, RetryBudget
from crocusroad_core.retry_budget._budgets import RetryBudgets

__all__ = ['RetryBounds', 'RetryBudget', 'RetryBudgets']
