"""The retry budget of each service, shared by all instances.

Hedges are charged to the budget like retries.
"""

from crocusroad_core.retry_budget._budget import RetryBounds, RetryBudget
from crocusroad_core.retry_budget._budgets import RetryBudgets
from crocusroad_core.retry_budget._open_retries import OpenRetries

__all__ = ['OpenRetries', 'RetryBounds', 'RetryBudget', 'RetryBudgets']
