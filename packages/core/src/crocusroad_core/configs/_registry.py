"""The fronts that are active on a node."""

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
    """The newest adopted revision of each front; revisions never decrease.

    `position` is the revision up to which every change of every front is
    known. Single changes above it may be known too, because changes may
    arrive out of order.
    """

    def __init__(self, history_length: int = HISTORY_LENGTH) -> None:
        self._fronts: dict[str, Front] = {}
        self._newest_changes: dict[str, Change] = {}
        self._position = 0
        self._is_synced = False
        self._history = ChangeHistory(history_length)

    @property
    def names(self) -> list[str]:
        """Return the names of the active fronts."""
        return sorted(self._fronts)

    @property
    def position(self) -> int:
        """Return the revision up to which every change is known."""
        return self._position

    @property
    def is_synced(self) -> bool:
        """Return whether the KV or a synced peer has provided all fronts."""
        return self._is_synced

    def find(self, name: str) -> Front | None:
        """Return an active front, or None."""
        return self._fronts.get(name)

    def revision(self, name: str) -> int:
        """Return the newest known revision of a front; 0 if there is none."""
        newest = self._newest_changes.get(name)
        return 0 if newest is None else newest.revision

    def newest_changes(self) -> list[Change]:
        """Return the newest change of each front, including deleted fronts."""
        return sorted(
            self._newest_changes.values(), key=lambda change: change.revision
        )

    def adopt(self, change: Change) -> Adoption:
        """Apply a change if it is newer than the known one and valid.

        The revision of an invalid change is recorded as well; the previous
        front stays active.
        """
        if change.revision <= self.revision(change.name):
            return Adoption.old
        self._newest_changes[change.name] = change
        adoption = self._activate(change)
        event = FrontEvent(change.name, change.revision, adoption)
        self._history.record(event)
        return adoption

    def advance(self, position: int) -> None:
        """Record that every change up to a revision is known."""
        self._position = max(self._position, position)

    def mark_synced(self) -> None:
        """Record that all fronts are known as of the position."""
        if not self._is_synced:
            self._history.compact(self._position)
        self._is_synced = True

    def changes_after(self, revision: int) -> list[FrontEvent] | None:
        """Return the changes after a revision; None if some are discarded."""
        return self._history.between(revision, self._position)

    def _activate(self, change: Change) -> Adoption:
        try:
            spec = _decode_spec(change)
        except ValueError:
            return Adoption.invalid
        if spec is None:
            self._fronts.pop(change.name, None)
            return Adoption.removed
        front = build_front(change.name, change.revision, spec)
        self._fronts[change.name] = front
        return Adoption.adopted


def _decode_spec(change: Change) -> FrontSpec | None:
    if change.value is None:
        return None
    # msgspec.DecodeError is a subclass of ValueError.
    spec = decode_stored_front(change.value)['spec']
    if spec is None:
        return None
    faults = check_spec(spec)
    if faults:
        raise ValueError(faults[0]['message'])
    return spec
