"""The lifecycle of a node."""

from crocusroad_core.lifecycle._states import (
    NODE_TRANSITIONS,
    NodeState,
)

__all__ = ['NODE_TRANSITIONS', 'NodeState']
