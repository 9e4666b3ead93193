"""What a gather asks of the node that drives it."""

from typing import Any, NamedTuple

from crocusroad_core.gather._attempt import Attempt
from crocusroad_core.gather._outcome import Outcome, Suspect
from crocusroad_wire import Coverage


class Send(NamedTuple):
    """Send a sub-request."""

    attempt: Attempt
    deadline: float  # seconds, clock of the node


class Cancel(NamedTuple):
    """Stop an attempt whose answer is of no more use."""

    attempt: Attempt


class Finish(NamedTuple):
    """The query is over; this is its answer."""

    version: int
    records: list[Any]
    coverage: Coverage
    outcome: Outcome
    may_have_run: bool  # False only if no upstream can have run it
    suspects: tuple[Suspect, ...]  # upstreams that failed while they ran it


Command = Send | Cancel | Finish
