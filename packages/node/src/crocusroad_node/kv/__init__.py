"""The key-value service as the node asks for it, whoever provides it."""

from crocusroad_node.kv._entry import Batch, Entry
from crocusroad_node.kv._fault import StoreFault
from crocusroad_node.kv._port import KeyValue

__all__ = ['Batch', 'Entry', 'KeyValue', 'StoreFault']
