"""Interface of the key-value store (KV), independent of its provider."""

from crocusroad_core.kv import Entry, LeasedEntry
from crocusroad_node.kv._batch import Batch
from crocusroad_node.kv._fault import StoreFault
from crocusroad_node.kv._port import KeyValue, WatchSource

__all__ = [
    'Batch',
    'Entry',
    'KeyValue',
    'LeasedEntry',
    'StoreFault',
    'WatchSource',
]
