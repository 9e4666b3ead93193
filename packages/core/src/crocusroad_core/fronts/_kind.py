"""A request kind of a front."""

from typing import NamedTuple


class RequestKind(NamedTuple):
    """A kind of requests that a front accepts, with its limits."""

    name: str
    worth: float  # priority under overload; higher is admitted first
    deadline: float  # seconds
    is_repeatable: bool  # whether a request may run more than once
    max_in_flight: int  # concurrent requests per instance
