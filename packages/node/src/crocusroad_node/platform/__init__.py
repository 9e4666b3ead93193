"""Adapters for the platform: its KV and its list of instances.

docs/protocols.md specifies their protocols. No other module depends on them.
"""

from crocusroad_node.kv import Batch, Entry, KeyValue, StoreFault
from crocusroad_node.platform._calls import read_key, swap_key
from crocusroad_node.platform._instances import (
    HttpInstanceList,
    Instance,
    InstanceList,
)
from crocusroad_node.platform._kv import HttpKeyValue

__all__ = [
    'Batch',
    'Entry',
    'HttpInstanceList',
    'HttpKeyValue',
    'Instance',
    'InstanceList',
    'KeyValue',
    'StoreFault',
    'read_key',
    'swap_key',
]
