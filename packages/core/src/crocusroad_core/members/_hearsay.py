"""Updates that wait to be passed on."""

from collections.abc import Iterable
from typing import NamedTuple

from crocusroad_core.members._order import is_newer
from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate

UPDATE_OVERHEAD_BYTES = 22  # numbers and length marks of one update


class _Waiting(NamedTuple):
    update: MemberUpdate
    sent: int


class Hearsay:
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
        if held and not is_newer(update, held.update):
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
    ) -> tuple[MemberUpdate, ...]:
        """Return updates of at most `room` bytes, those in `first` ahead."""
        taken = {}
        for update in (*first, *self._least_sent()):
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
    """Return a bound of an update's size in bytes."""
    texts = (update.name, update.address, update.zone)
    return UPDATE_OVERHEAD_BYTES + sum(len(text) for text in texts)
