"""Callbacks for the outcomes of the attempts of a query."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.gather import Attempt, FailureReason
from crocusroad_wire import UpstreamAnswer

# Called for each complete answer: (attempt, answer, now).
OnAnswer = Callable[[Attempt, UpstreamAnswer, float], None]
# Called for each attempt that failed: (attempt, reason, now).
OnFailure = Callable[[Attempt, FailureReason, float], None]


class AttemptObserver(NamedTuple):
    """Functions called with the outcome of each attempt of a query."""

    on_answer: OnAnswer
    on_failure: OnFailure
