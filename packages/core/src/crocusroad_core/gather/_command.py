"""Commands that a gather returns to the node that drives it."""

from typing import Any, NamedTuple

from crocusroad_core.gather._attempt import Attempt
from crocusroad_core.gather._outcome import Outcome, Suspect
from crocusroad_wire import Coverage


class Send(NamedTuple):
    """Send a sub-request."""

    attempt: Attempt
    deadline: float  # seconds, clock of the node


class Cancel(NamedTuple):
    """Cancel an attempt whose answer is no longer needed."""

    attempt: Attempt


class Finish(NamedTuple):
    """End the query with this answer."""

    version: int
    records: list[Any]
    coverage: Coverage
    outcome: Outcome
    may_have_run: bool  # False only if no upstream can have run the query
    suspects: tuple[Suspect, ...]  # upstreams that failed while running it


Command = Send | Cancel | Finish
