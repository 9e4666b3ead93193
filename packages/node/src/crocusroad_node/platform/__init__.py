"""The adapters towards the platform: its KV and its list of instances.

Their contracts stand in docs/protocols.md; no other module knows how the
platform is spoken to.
"""

from crocusroad_node.kv import Batch, Entry, KeyValue, StoreFault
from crocusroad_node.platform._events import read_event, swap_event
from crocusroad_node.platform._instances import (
    HttpInstances,
    Instance,
    Instances,
)
from crocusroad_node.platform._kv import HttpKeyValue

__all__ = [
    'Batch',
    'Entry',
    'HttpInstances',
    'HttpKeyValue',
    'Instance',
    'Instances',
    'KeyValue',
    'StoreFault',
    'read_event',
    'swap_event',
]
