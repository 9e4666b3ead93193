"""A caller of a front."""

from typing import NamedTuple


class Caller(NamedTuple):
    """A caller that a front serves."""

    name: str
    token_sha256: str  # hex digest
    rate: float  # requests a second, over all instances
