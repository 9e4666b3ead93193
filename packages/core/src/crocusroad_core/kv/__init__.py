"""Calls to the KV as the decisions see them."""

from crocusroad_core.kv._call_result import (
    CallFault,
    Found,
    StoreEvent,
    Swapped,
)
from crocusroad_core.kv._entry import Entry

__all__ = ['CallFault', 'Entry', 'Found', 'StoreEvent', 'Swapped']
