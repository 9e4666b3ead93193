"""Updates that wait to be passed on."""

from collections.abc import Container, Iterable
from typing import NamedTuple

from crocusroad_core.members._precedence import supersedes
from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate

# Of an encoded update: its own mark, the incarnation and the state.
FIXED_BYTES = 11
# Of the count of beats: one below the bound, else a mark and eight bytes.
SMALL_BEATS = 128
LARGE_BEATS_BYTES = 9
# A text of less than this many bytes has a mark of one byte, else of two.
SHORT_TEXT_BYTES = 32


class _Waiting(NamedTuple):
    update: MemberUpdate
    sent: int


class GossipQueue:
    """The newest update about each member, while it is news."""

    def __init__(self, transmissions: int, limit: int) -> None:
        self._transmissions = transmissions
        self._limit = limit
        self._waiting: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        """Return how many updates wait."""
        return len(self._waiting)

    def add(self, update: MemberUpdate) -> None:
        """Pass an update on with the next messages."""
        held = self._waiting.pop(update.name, None)
        if held and not supersedes(update, held.update):
            update = held.update
        self._waiting[update.name] = _Waiting(brief(update), 0)
        if len(self._waiting) > self._limit:
            self._waiting.pop(next(iter(self._waiting)))

    def confirm(self, update: MemberUpdate) -> None:
        """Pass an update on in place of its suspicion, not once more.

        Those that heard the suspicion hold it true by themselves in time.
        """
        held = self._waiting.get(update.name)
        if held:
            self._waiting[update.name] = held._replace(update=brief(update))

    def take(
        self,
        room: int,
        first: Iterable[MemberUpdate],
        known: Container[str] = (),
    ) -> tuple[MemberUpdate, ...]:
        """Return updates of at most `room` bytes, those in `first` ahead.

        Members in `known` are left out, but for those in `first`.
        """
        taken = {}
        waiting = (one for one in self._least_sent() if one.name not in known)
        for update in (*first, *waiting):
            size = size_of(update)
            if size > room:
                break
            if update.name not in taken:
                room -= size
                taken[update.name] = update
        for name in taken:
            self._count(name)
        return tuple(taken.values())

    def _least_sent(self) -> Iterable[MemberUpdate]:
        # Fresh news must not wait behind what has been passed on already.
        waiting = sorted(self._waiting.values(), key=lambda one: one.sent)
        return (one.update for one in waiting)

    def _count(self, name: str) -> None:
        held = self._waiting.pop(name, None)
        if held and held.sent + 1 < self._transmissions:
            self._waiting[name] = held._replace(sent=held.sent + 1)


def brief(update: MemberUpdate) -> MemberUpdate:
    """Return an update without what only matters of a running member."""
    if update.state == MemberState.alive:
        return update
    return update._replace(address='', zone='')


def size_of(update: MemberUpdate) -> int:
    """Return the most bytes that an encoded update takes."""
    texts = (update.name, update.address, update.zone)
    beats = 1 if update.beat < SMALL_BEATS else LARGE_BEATS_BYTES
    return FIXED_BYTES + beats + sum(_text_size(text) for text in texts)


def _text_size(text: str) -> int:
    size = len(text.encode())
    mark = 1 if size < SHORT_TEXT_BYTES else 2
    return mark + size
