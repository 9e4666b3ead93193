"""The fronts that are in force on a node."""

from crocusroad_core.fronts import Front


class FrontBook:
    """The newest adopted revision of each front; it never goes back."""

    def __init__(self) -> None:
        self._fronts: dict[str, Front] = {}
        self._revisions: dict[str, int] = {}

    @property
    def names(self) -> list[str]:
        """Return the names of the fronts in force."""
        return sorted(self._fronts)

    def find(self, name: str) -> Front | None:
        """Return a front in force, or None."""
        return self._fronts.get(name)

    def revision(self, name: str) -> int:
        """Return the revision adopted last; 0: none."""
        return self._revisions.get(name, 0)

    def adopt(self, front: Front) -> bool:
        """Put a front in force if it is newer; tell whether it was."""
        if front.revision <= self.revision(front.name):
            return False
        self._revisions[front.name] = front.revision
        self._fronts[front.name] = front
        return True

    def remove(self, name: str, revision: int) -> bool:
        """Take a front out of force if the deletion is newer."""
        if revision <= self.revision(name):
            return False
        self._revisions[name] = revision
        self._fronts.pop(name, None)
        return True
