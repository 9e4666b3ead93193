"""The replicas of one front."""

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from crocusroad_core.routing._replica_state import ReplicaState

DOUBT_SHARE: Final = 0.5  # of a front's replicas that look dead
DOUBT_LEAST: Final = 3  # replicas
DOUBT_SECONDS: Final = 0.25  # between two looks at all replicas of a front


class Group:
    """The replicas of one front and whether the view of them is doubted."""

    __slots__ = ('_is_in_doubt', '_looked_at', 'states')

    def __init__(self) -> None:
        self.states: dict[
            tuple[str, str], ReplicaState
        ] = {}  # by name, address
        self._is_in_doubt = False
        self._looked_at = float('-inf')

    def is_in_doubt(self, now: float) -> bool:
        """Tell whether so many replicas look dead that the view is wrong."""
        if now - self._looked_at >= DOUBT_SECONDS:
            self._looked_at = now
            self._is_in_doubt = self._are_most_dead(now)
        return self._is_in_doubt

    def _are_most_dead(self, now: float) -> bool:
        count = len(self.states)
        if count < DOUBT_LEAST:
            return False
        dead = sum(state.looks_dead(now) for state in self.states.values())
        return dead > DOUBT_SHARE * count
