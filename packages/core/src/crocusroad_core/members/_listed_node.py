"""A node as the platform lists it."""

from typing import NamedTuple


class ListedNode(NamedTuple):
    """One node of the platform's list, which lags."""

    name: str
    address: str  # host:port of its peers' channel
    zone: str
    is_leaving: bool
