"""Calls to the KV that return the results the core logic expects."""

from typing import Final

from returns.result import Result, Success

from crocusroad_core.kv import CallFault, CallResult, ReadReply, Swapped
from crocusroad_node.kv import Entry, KeyValue, StoreFault

_CALL_FAULTS: Final = {
    StoreFault.conflict: CallFault.conflict,
    StoreFault.unavailable: CallFault.refused,
    StoreFault.unknown: CallFault.lost,
    StoreFault.lease_gone: CallFault.lease_gone,
    StoreFault.compacted: CallFault.lost,
}
ABSENT: Final = ReadReply(revision=0, value=None)


async def read_key(kv: KeyValue, key: str) -> CallResult:
    """Read a key and return the result of the call."""
    reply = await kv.read(key)
    if not isinstance(reply, Success):
        return _CALL_FAULTS[reply.failure()]
    entry: Entry | None = reply.unwrap()
    return ABSENT if entry is None else ReadReply(entry.revision, entry.value)


async def swap_key(
    kv: KeyValue,
    key: str,
    value: str,
    expected: int,
    lease: str = '',
) -> CallResult:
    """Write a key if its revision is `expected`; return the call's result."""
    reply: Result[int, StoreFault] = await kv.swap(key, value, expected, lease)
    if isinstance(reply, Success):
        return Swapped(reply.unwrap())
    return _CALL_FAULTS[reply.failure()]
