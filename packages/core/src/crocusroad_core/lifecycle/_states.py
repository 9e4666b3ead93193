"""States and transitions of a node, for the library `transitions`."""

from enum import StrEnum
from typing import Final


class NodeState(StrEnum):
    """What a node is doing with callers' requests."""

    starting = 'starting'
    serving = 'serving'
    draining = 'draining'
    stopped = 'stopped'


NODE_TRANSITIONS: Final = (
    ('serve', NodeState.starting, NodeState.serving),
    ('drain', [NodeState.starting, NodeState.serving], NodeState.draining),
    ('finish', NodeState.draining, NodeState.stopped),
)
