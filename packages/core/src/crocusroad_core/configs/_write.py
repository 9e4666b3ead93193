"""An operator's write to a front's key."""

import msgspec

from crocusroad_core.configs._stored_front import (
    Ancestor,
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
    """One write in flight; says 'accepted' only when it is known to hold.

    The value is read first, so that the new value can carry the lineage. A
    lost reply is resolved by asking who replaced the base revision. While the
    base still stands the same swap is sent again: a revision is replaced
    once, so sending it twice can't have two effects.
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
        self._may_land = False
        self._has_retried = False

    def begin(self) -> WriteCommand:
        """Return the first command."""
        return ReadKey()

    def on_event(self, event: CallResult, now: float) -> WriteCommand:
        """Return what to do after a call to the KV has ended."""
        if isinstance(event, Swapped):
            return WriteDone(WriteOutcome.accepted, event.revision)
        if isinstance(event, ReadReply):
            return self._on_found(event, now)
        if self._swap is not None and event is not CallFault.refused:
            # A conflict may be with this very write, sent twice on the way.
            self._may_land = True
        return self._read_again(now)

    def _read_again(self, now: float) -> WriteCommand:
        if now < self._deadline:
            delay = RETRY_SECONDS if self._has_retried else 0
            self._has_retried = True
            return ReadKey(delay)
        if self._may_land:
            return WriteDone(WriteOutcome.unknown, 0)
        return WriteDone(WriteOutcome.unavailable, 0)

    def _on_found(self, found: ReadReply, now: float) -> WriteCommand:
        try:
            stored = _stored(found)
        except msgspec.DecodeError:
            return WriteDone(WriteOutcome.foreign, found.revision)
        if self._swap is not None and found.revision > self._swap.expected:
            return self._resolve(self._swap.expected, found, stored)
        if now >= self._deadline:
            return self._read_again(now)
        return self._swap or self._first_swap(found, stored)

    def _first_swap(
        self, found: ReadReply, stored: StoredFront
    ) -> WriteCommand:
        is_creation = self._expected == 0 and stored['spec'] is None
        if found.revision != self._expected and not is_creation:
            return WriteDone(WriteOutcome.conflict, found.revision)
        if self._spec is None and stored['spec'] is None:
            return WriteDone(WriteOutcome.absent, found.revision)
        this = Ancestor(found.revision, self._write_id)
        text = encode_stored_front(self._spec, this, stored['lineage'])
        self._swap = SwapKey(text, found.revision)
        return self._swap

    def _resolve(
        self,
        base: int,
        found: ReadReply,
        stored: StoredFront,
    ) -> WriteCommand:
        revision = found.revision
        for ancestor in stored['lineage']:
            if ancestor.base == base:
                if ancestor.write_id == self._write_id:
                    return WriteDone(WriteOutcome.accepted, revision)
                return WriteDone(WriteOutcome.conflict, found.revision)
            # The write after ours names our revision as its base.
            revision = ancestor.base
        return WriteDone(WriteOutcome.unknown, found.revision)


def _stored(found: ReadReply) -> StoredFront:
    if found.value is None:
        return StoredFront(spec=None, lineage=[])
    return decode_stored_front(found.value)
