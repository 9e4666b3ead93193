"""Replicas of one front."""

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from crocusroad_core.routing._replica_state import ReplicaState

PANIC_SHARE: Final = 0.5  # of a front's replicas that look dead
PANIC_MIN_REPLICAS: Final = 3
PANIC_CHECK_SECONDS: Final = 0.25  # between checks of all replicas of a front


class ReplicaGroup:
    """Replicas of one front, and whether their health is to be ignored."""

    __slots__ = ('_checked_at', '_is_in_panic_mode', 'states')

    def __init__(self) -> None:
        self.states: dict[
            tuple[str, str], ReplicaState
        ] = {}  # by name, address
        self._is_in_panic_mode = False
        self._checked_at = float('-inf')

    def is_in_panic_mode(self, now: float) -> bool:
        """Return whether more replicas look dead than is plausible.

        This instance's view of the replicas is then assumed to be wrong.
        """
        if now - self._checked_at >= PANIC_CHECK_SECONDS:
            self._checked_at = now
            self._is_in_panic_mode = self._do_most_look_dead(now)
        return self._is_in_panic_mode

    def _do_most_look_dead(self, now: float) -> bool:
        count = len(self.states)
        if count < PANIC_MIN_REPLICAS:
            return False
        dead = sum(state.looks_dead(now) for state in self.states.values())
        return dead > PANIC_SHARE * count
