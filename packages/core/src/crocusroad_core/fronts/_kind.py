"""A request kind of a front."""

from typing import NamedTuple


class RequestKind(NamedTuple):
    """A request kind that a front accepts."""

    name: str
    worth: float
    deadline: float  # seconds
    is_repeatable: bool
    max_in_flight: int  # requests at once on one instance
