"""Which instance coordinates a fan-out, and what that takes of it."""

from crocusroad_core.coordinators._backlog import Backlog
from crocusroad_core.coordinators._choice import Coordinators
from crocusroad_core.coordinators._cost import shard_seconds, way_seconds
from crocusroad_core.coordinators._shares import fan_out_weight

__all__ = (
    'Backlog',
    'Coordinators',
    'fan_out_weight',
    'shard_seconds',
    'way_seconds',
)
