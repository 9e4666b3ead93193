"""Lifecycle of a node, from its start to the end of its graceful shutdown."""

from crocusroad_node.lifecycle._drain import DrainTimeouts, drain_node
from crocusroad_node.lifecycle._request_tracker import RequestTracker
from crocusroad_node.node_lifecycle import NodeLifecycle

__all__ = ['DrainTimeouts', 'NodeLifecycle', 'RequestTracker', 'drain_node']
