"""Selection of the instance that coordinates a fan-out, and its cost."""

from crocusroad_core.coordinators._backlog import Backlog
from crocusroad_core.coordinators._cost import (
    round_trip_seconds,
    shard_seconds,
)
from crocusroad_core.coordinators._selector import CoordinatorSelector
from crocusroad_core.coordinators._weights import fan_out_weight

__all__ = (
    'Backlog',
    'CoordinatorSelector',
    'fan_out_weight',
    'round_trip_seconds',
    'shard_seconds',
)
