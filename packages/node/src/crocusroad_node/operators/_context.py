"""The dependencies of the operator API."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.configs import FrontRegistry
from crocusroad_node.configs import FrontStore
from crocusroad_wire import NodeStatus


class OperatorContext(NamedTuple):
    """The parts of a node that the operator API reads and changes."""

    store: FrontStore
    registry: FrontRegistry
    positions: Callable[[], dict[str, int]]  # by node name; visible nodes only
    status: Callable[[], NodeStatus]
