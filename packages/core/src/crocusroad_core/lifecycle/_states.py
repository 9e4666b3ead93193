"""States and transitions of a node, for the library `transitions`."""

from enum import StrEnum
from typing import Final


class LifeState(StrEnum):
    """What a node is doing with callers' requests."""

    starting = 'starting'
    serving = 'serving'
    draining = 'draining'
    stopped = 'stopped'


NODE_TRANSITIONS: Final = (
    ('serve', LifeState.starting, LifeState.serving),
    ('drain', [LifeState.starting, LifeState.serving], LifeState.draining),
    ('finish', LifeState.draining, LifeState.stopped),
)
