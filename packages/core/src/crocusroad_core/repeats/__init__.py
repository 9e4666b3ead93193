"""The budget of repeats: each service's own, shared by all instances."""

from crocusroad_core.repeats._budget import RepeatBounds, RepeatBudget
from crocusroad_core.repeats._budgets import RepeatBudgets

__all__ = ['RepeatBounds', 'RepeatBudget', 'RepeatBudgets']
