"""What the operators' interface works on."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.configs import FrontRegistry
from crocusroad_node.configs import FrontStore
from crocusroad_wire import NodeStatus


class OperatorContext(NamedTuple):
    """The parts of a node that operators see and change."""

    store: FrontStore
    registry: FrontRegistry
    positions: Callable[[], dict[str, int]]  # by node that is seen
    status: Callable[[], NodeStatus]
