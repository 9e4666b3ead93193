"""The adapters towards the platform: its KV and its list of instances.

Their contracts stand in docs/protocols.md; no other module knows how the
platform is spoken to.
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
