"""The ticket of an admitted request."""

from typing import NamedTuple


class Ticket(NamedTuple):
    """An admitted request, to be released when the request ends."""

    serial: int
    front: str
    kind: str
    worth: float
    admitted_at: float  # seconds on the monotonic clock of the node
