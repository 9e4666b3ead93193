"""What peers ask of a node's configuration."""

from collections.abc import Callable
from typing import NamedTuple


class ConfigSource(NamedTuple):
    """The configuration in force, as it passes between peers."""

    position: Callable[[], int]  # rises with each adopted change
    export: Callable[[int], bytes]  # the changes after a position
    apply: Callable[[bytes, float], object]  # adopts what is newer
