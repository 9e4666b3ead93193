"""The life of a node, from start to the end of its graceful stop."""

from crocusroad_node.life._life import NodeLife

__all__ = ['NodeLife']
