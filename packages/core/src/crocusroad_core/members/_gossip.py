"""The queue of member updates to piggyback on messages."""

from collections.abc import Container, Iterable
from typing import NamedTuple

from crocusroad_core.members._precedence import supersedes
from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate

# Encoded size of an update's own header, its incarnation and its state.
FIXED_BYTES = 11
# Encoded size of the beat counter: one byte below the bound, else a header
# and eight bytes.
SMALL_BEAT_LIMIT = 128
LARGE_BEAT_BYTES = 9
# A text of fewer bytes than this has a header of one byte, else of two.
SHORT_TEXT_BYTES = 32


class _QueuedUpdate(NamedTuple):
    update: MemberUpdate
    sent: int


class GossipQueue:
    """The newest update about each member, until it was sent often enough."""

    def __init__(self, transmissions: int, limit: int) -> None:
        self._transmissions = transmissions
        self._limit = limit
        self._queued: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._queued)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update for the next messages."""
        queued = self._queued.pop(update.name, None)
        if queued and not supersedes(update, queued.update):
            update = queued.update
        self._queued[update.name] = _QueuedUpdate(compact(update), 0)
        if len(self._queued) > self._limit:
            self._queued.pop(next(iter(self._queued)))

    def confirm(self, update: MemberUpdate) -> None:
        """Replace a queued suspicion by its confirmation, without a resend.

        Nodes that received the suspicion declare the member dead by
        themselves in time.
        """
        queued = self._queued.get(update.name)
        if queued:
            self._queued[update.name] = queued._replace(update=compact(update))

    def take(
        self,
        max_bytes: int,
        first: Iterable[MemberUpdate],
        known: Container[str] = (),
    ) -> tuple[MemberUpdate, ...]:
        """Return updates of at most `max_bytes`, those in `first` ahead.

        Updates about the members in `known` are left out unless they are in
        `first`.
        """
        taken = {}
        queued = (
            update for update in self._least_sent() if update.name not in known
        )
        for update in (*first, *queued):
            size = size_of(update)
            if size > max_bytes:
                break
            if update.name not in taken:
                max_bytes -= size
                taken[update.name] = update
        for name in taken:
            self._count_sent(name)
        return tuple(taken.values())

    def _least_sent(self) -> Iterable[MemberUpdate]:
        # New updates must not wait behind those that were already sent.
        queued = sorted(self._queued.values(), key=lambda entry: entry.sent)
        return (entry.update for entry in queued)

    def _count_sent(self, name: str) -> None:
        queued = self._queued.pop(name, None)
        if queued and queued.sent + 1 < self._transmissions:
            self._queued[name] = queued._replace(sent=queued.sent + 1)


def compact(update: MemberUpdate) -> MemberUpdate:
    """Return an update without the fields that only a running member needs."""
    if update.state == MemberState.alive:
        return update
    return update._replace(address='', zone='')


def size_of(update: MemberUpdate) -> int:
    """Return the greatest number of bytes that an encoded update takes."""
    texts = (update.name, update.address, update.zone)
    beat = 1 if update.beat < SMALL_BEAT_LIMIT else LARGE_BEAT_BYTES
    return FIXED_BYTES + beat + sum(_text_size(text) for text in texts)


def _text_size(text: str) -> int:
    size = len(text.encode())
    header = 1 if size < SHORT_TEXT_BYTES else 2
    return header + size
