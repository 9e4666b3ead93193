"""A caller of a front."""

from typing import NamedTuple


class Caller(NamedTuple):
    """A caller that a front accepts, identified by its token."""

    name: str
    token_sha256: str  # hex digest
    rate: float  # requests per second, over all instances
