"""An operator's write to a front's key."""

import msgspec

from crocusroad_core.configs._stored_front import (
    LineageEntry,
    StoredFront,
    decode_stored_front,
    encode_stored_front,
)
from crocusroad_core.configs._write_command import (
    ReadKey,
    SwapKey,
    WriteCommand,
    WriteDone,
    WriteOutcome,
)
from crocusroad_core.kv import CallFault, CallResult, ReadReply, Swapped
from crocusroad_wire import FrontSpec

RETRY_SECONDS = 0.2


class FrontWrite:
    """The state of one write; it ends as 'accepted' only if it took effect.

    The value is read first, because the new value includes the lineage of the
    old one. If a reply is lost, the lineage of the key shows which write
    replaced the base revision. While the base revision is still current, the
    same swap is sent again: a revision is replaced at most once, so sending
    the swap twice cannot take effect twice.
    """

    def __init__(
        self,
        spec: FrontSpec | None,
        expected: int,
        write_id: str,
        deadline: float,
    ) -> None:
        self._spec = spec
        self._expected = expected
        self._write_id = write_id
        self._deadline = deadline
        self._swap: SwapKey | None = None
        self._may_take_effect = False
        self._has_retried = False

    def begin(self) -> WriteCommand:
        """Return the first command."""
        return ReadKey()

    def on_event(self, result: CallResult, now: float) -> WriteCommand:
        """Return the next command after a call to the KV has ended."""
        if isinstance(result, Swapped):
            return WriteDone(WriteOutcome.accepted, result.revision)
        if isinstance(result, ReadReply):
            return self._on_read_reply(result, now)
        if self._swap is not None and result is not CallFault.refused:
            # This includes conflicts: the swap may conflict with a copy of
            # itself, if it was delivered twice.
            self._may_take_effect = True
        return self._retry_read(now)

    def _retry_read(self, now: float) -> WriteCommand:
        if now < self._deadline:
            delay = RETRY_SECONDS if self._has_retried else 0
            self._has_retried = True
            return ReadKey(delay)
        if self._may_take_effect:
            return WriteDone(WriteOutcome.unknown, 0)
        return WriteDone(WriteOutcome.unavailable, 0)

    def _on_read_reply(self, reply: ReadReply, now: float) -> WriteCommand:
        try:
            stored = _decode_reply(reply)
        except msgspec.DecodeError:
            return WriteDone(WriteOutcome.foreign, reply.revision)
        if self._swap is not None and reply.revision > self._swap.expected:
            return self._resolve(self._swap.expected, reply, stored)
        if now >= self._deadline:
            return self._retry_read(now)
        return self._swap or self._first_swap(reply, stored)

    def _first_swap(
        self, reply: ReadReply, stored: StoredFront
    ) -> WriteCommand:
        is_creation = self._expected == 0 and stored['spec'] is None
        if reply.revision != self._expected and not is_creation:
            return WriteDone(WriteOutcome.conflict, reply.revision)
        if self._spec is None and stored['spec'] is None:
            return WriteDone(WriteOutcome.absent, reply.revision)
        entry = LineageEntry(reply.revision, self._write_id)
        text = encode_stored_front(self._spec, entry, stored['lineage'])
        self._swap = SwapKey(text, reply.revision)
        return self._swap

    def _resolve(
        self,
        base: int,
        reply: ReadReply,
        stored: StoredFront,
    ) -> WriteCommand:
        revision = reply.revision
        for entry in stored['lineage']:
            if entry.base == base:
                if entry.write_id == self._write_id:
                    return WriteDone(WriteOutcome.accepted, revision)
                return WriteDone(WriteOutcome.conflict, reply.revision)
            # The base of a write is the revision of the write before it.
            revision = entry.base
        return WriteDone(WriteOutcome.unknown, reply.revision)


def _decode_reply(reply: ReadReply) -> StoredFront:
    if reply.value is None:
        return StoredFront(spec=None, lineage=[])
    return decode_stored_front(reply.value)
