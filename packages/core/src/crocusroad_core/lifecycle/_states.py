"""States and transitions of a node, in the form that `transitions` expects."""

from enum import StrEnum
from typing import Final


class NodeState(StrEnum):
    """The state of a node with regard to callers' requests."""

    starting = 'starting'
    serving = 'serving'
    draining = 'draining'
    stopped = 'stopped'


NODE_TRANSITIONS: Final = (
    ('serve', NodeState.starting, NodeState.serving),
    ('drain', [NodeState.starting, NodeState.serving], NodeState.draining),
    ('finish', NodeState.draining, NodeState.stopped),
)
