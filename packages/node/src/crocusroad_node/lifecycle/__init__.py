"""The life of a node, from start to the end of its graceful stop."""

from crocusroad_node.lifecycle._drain import DrainBounds, drain_node
from crocusroad_node.lifecycle._request_tracker import RequestGate
from crocusroad_node.node_lifecycle import NodeLifecycle

__all__ = ['DrainBounds', 'NodeLifecycle', 'RequestGate', 'drain_node']
