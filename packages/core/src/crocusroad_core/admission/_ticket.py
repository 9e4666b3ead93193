"""The right of one admitted request to be in progress."""

from typing import NamedTuple


class Ticket(NamedTuple):
    """One admitted request; give it back to the door when it ends."""

    serial: int
    front: str
    kind: str
    worth: float
    admitted_at: float  # seconds, clock of the node
