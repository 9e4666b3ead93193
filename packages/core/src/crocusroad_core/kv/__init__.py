"""Calls to the KV as the decisions see them."""

from crocusroad_core.kv._entry import Entry
from crocusroad_core.kv._event import CallFault, Found, StoreEvent, Swapped

__all__ = ['CallFault', 'Entry', 'Found', 'StoreEvent', 'Swapped']
