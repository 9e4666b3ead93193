"""A refusal of a request."""

from typing import NamedTuple

from crocusroad_wire import Fault, ProblemKind, RunState


class Refusal(NamedTuple):
    """Why a request was not served.

    `ran` is 'no' only if no upstream can have run the request.
    """

    kind: ProblemKind
    ran: RunState
    detail: str
    remedy: str
    retry_after: float | None = None  # seconds
    faults: tuple[Fault, ...] = ()
    revision: int | None = None  # the revision that stands, on a conflict
