"""The states of a node's life."""

from crocusroad_core.life._states import (
    NODE_TRANSITIONS,
    LifeState,
)

__all__ = ['NODE_TRANSITIONS', 'LifeState']
