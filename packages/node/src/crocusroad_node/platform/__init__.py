"""The adapters towards the platform: its KV and its list of instances.

Their contracts stand in docs/protocols.md; no other module knows how the
platform is spoken to.
"""

from crocusroad_node.platform._entry import Batch, Entry
from crocusroad_node.platform._events import read_event, swap_event
from crocusroad_node.platform._fault import StoreFault
from crocusroad_node.platform._instances import (
    HttpInstances,
    Instance,
    Instances,
)
from crocusroad_node.platform._kv import HttpKeyValue
from crocusroad_node.platform._port import KeyValue

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
