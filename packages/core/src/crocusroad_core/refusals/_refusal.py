"""A refusal of a request."""

from typing import NamedTuple

from crocusroad_wire import Fault, ProblemKind, RunState


class Refusal(NamedTuple):
    """The reason why a request was not served.

    `ran` is 'no' only if it is certain that no upstream ran the request.
    """

    kind: ProblemKind
    ran: RunState
    detail: str
    remedy: str
    retry_after: float | None = None  # seconds
    faults: tuple[Fault, ...] = ()
    revision: int | None = None  # the current revision, on a conflict
