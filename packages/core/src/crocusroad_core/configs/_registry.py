"""The fronts that are in force on a node."""

from crocusroad_core.configs._change import (
    Adoption,
    Change,
    FrontEvent,
)
from crocusroad_core.configs._history import ChangeHistory
from crocusroad_core.configs._stored_front import decode_stored_front
from crocusroad_core.fronts import Front, build_front, check_spec
from crocusroad_wire import FrontSpec

HISTORY_LENGTH = 1024  # changes


class FrontRegistry:
    """The newest adopted revision of each front; it never goes back.

    `position` is the revision up to which every change of a front is known.
    A change above it may be known too, when it came ahead of others.
    """

    def __init__(self, history_length: int = HISTORY_LENGTH) -> None:
        self._fronts: dict[str, Front] = {}
        self._newest: dict[str, Change] = {}
        self._position = 0
        self._is_synced = False
        self._history = ChangeHistory(history_length)

    @property
    def names(self) -> list[str]:
        """Return the names of the fronts in force."""
        return sorted(self._fronts)

    @property
    def position(self) -> int:
        """Return the revision up to which every change is known."""
        return self._position

    @property
    def is_synced(self) -> bool:
        """Tell whether the KV, or a peer that had it, gave all fronts."""
        return self._is_synced

    def find(self, name: str) -> Front | None:
        """Return a front in force, or None."""
        return self._fronts.get(name)

    def revision(self, name: str) -> int:
        """Return the newest revision seen of a front; 0: none."""
        newest = self._newest.get(name)
        return 0 if newest is None else newest.revision

    def newest_changes(self) -> list[Change]:
        """Return the newest change of each front, deleted ones included."""
        return sorted(self._newest.values(), key=lambda one: one.revision)

    def adopt(self, change: Change) -> Adoption:
        """Put a change in force if it is newer and without faults."""
        if change.revision <= self.revision(change.name):
            return Adoption.old
        self._newest[change.name] = change
        adoption = self._put_in_force(change)
        event = FrontEvent(change.name, change.revision, adoption)
        self._history.record(event)
        return adoption

    def advance(self, position: int) -> None:
        """Note that every change up to a revision is known."""
        self._position = max(self._position, position)

    def mark_synced(self) -> None:
        """Note that all fronts are known as of the position."""
        if not self._is_synced:
            self._history.forget(self._position)
        self._is_synced = True

    def changes_after(self, revision: int) -> list[FrontEvent] | None:
        """Return the changes after a revision; None: some are forgotten."""
        return self._history.between(revision, self._position)

    def _put_in_force(self, change: Change) -> Adoption:
        try:
            spec = _checked_spec(change)
        except ValueError:
            return Adoption.invalid
        if spec is None:
            self._fronts.pop(change.name, None)
            return Adoption.removed
        front = build_front(change.name, change.revision, spec)
        self._fronts[change.name] = front
        return Adoption.adopted


def _checked_spec(change: Change) -> FrontSpec | None:
    if change.value is None:
        return None
    # msgspec's errors are value errors too.
    spec = decode_stored_front(change.value)['spec']
    if spec is None:
        return None
    faults = check_spec(spec)
    if faults:
        raise ValueError(faults[0]['message'])
    return spec
