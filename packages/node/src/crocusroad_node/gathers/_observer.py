"""Those who learn from each attempt of a query."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.gather import Attempt, FailureReason
from crocusroad_wire import UpstreamAnswer

# Told of each whole answer: (attempt, answer, now).
Answered = Callable[[Attempt, UpstreamAnswer, float], None]
# Told of each attempt that failed: (attempt, reason, now).
Failed = Callable[[Attempt, FailureReason, float], None]


class AttemptObserver(NamedTuple):
    """Functions that are told what became of the attempts of a query."""

    answered: Answered
    failed: Failed
