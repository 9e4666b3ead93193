"""Access to the configuration that nodes exchange."""

from collections.abc import Callable
from typing import NamedTuple


class ConfigSource(NamedTuple):
    """Functions that read and update the active configuration."""

    position: Callable[[], int]  # increases with each adopted change
    export: Callable[[int], bytes]  # encodes the changes after a position
    apply: Callable[[bytes, float], object]  # adopts newer changes
