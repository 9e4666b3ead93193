"""The lifecycle of a node."""

from crocusroad_core.lifecycle._states import (
    NODE_TRANSITIONS,
    NodeState,
)
from crocusroad_core.lifecycle._stop_window import StopWindow

__all__ = ['NODE_TRANSITIONS', 'NodeState', 'StopWindow']
