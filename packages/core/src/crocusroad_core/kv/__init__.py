"""Entries of the KV and the results of calls to it."""

from crocusroad_core.kv._call_result import (
    CallFault,
    CallResult,
    ReadReply,
    Swapped,
)
from crocusroad_core.kv._entry import Entry, LeasedEntry

__all__ = [
    'CallFault',
    'CallResult',
    'Entry',
    'LeasedEntry',
    'ReadReply',
    'Swapped',
]
