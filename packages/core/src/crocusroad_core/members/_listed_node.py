"""A node in the platform's list."""

from typing import NamedTuple


class ListedNode(NamedTuple):
    """A node in the platform's list, which may be out of date."""

    name: str
    address: str  # host:port of its peer channel
    zone: str
    is_leaving: bool
