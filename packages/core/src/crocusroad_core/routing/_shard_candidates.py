"""A shard as the first attempts name it."""

from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._replica_table import key_of

VIEW_SECONDS: Final = 10.0


class ShardView:
    """The widest set of candidates seen of late for a shard.

    A retry names only the replicas that were not tried, which does not tell
    whether the others are leaving.
    """

    __slots__ = ('_seen_at', 'replicas', 'states')

    def __init__(
        self,
        replicas: tuple[Replica, ...],
        states: list[ReplicaState],
        now: float,
    ) -> None:
        self.replicas = replicas
        self.states = states
        self._seen_at = now

    def take(self, candidates: tuple[Replica, ...], now: float) -> bool:
        """Tell whether the view still holds beside these candidates."""
        if candidates == self.replicas:
            self._seen_at = now
            return True
        if not set(candidates) < set(self.replicas):
            return False
        return now - self._seen_at <= VIEW_SECONDS

    def states_of(
        self,
        candidates: tuple[Replica, ...],
    ) -> list[ReplicaState]:
        """Return the states of those candidates that the view has."""
        if len(candidates) == len(self.replicas):
            return self.states
        # What is said of a replica may have changed since the query began.
        keys = {key_of(one) for one in candidates}
        return [one for one in self.states if key_of(one.replica) in keys]
