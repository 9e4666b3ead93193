"""Full set of candidates of a shard."""

from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._replica_table import replica_key

TTL_SECONDS: Final = 10.0  # since the set was last given in full


class ShardCandidates:
    """Largest set of candidates given for a shard recently.

    A retry names only the replicas that were not tried yet, which is not
    enough to tell whether all replicas of the shard are leaving.
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

    def covers(self, candidates: tuple[Replica, ...], now: float) -> bool:
        """Return whether the set is still valid for these candidates.

        The full set extends its validity; a proper subset does not.
        """
        if candidates == self.replicas:
            self._seen_at = now
            return True
        if not set(candidates) < set(self.replicas):
            return False
        return now - self._seen_at <= TTL_SECONDS

    def states_of(
        self,
        candidates: tuple[Replica, ...],
    ) -> list[ReplicaState]:
        """Return the states of those candidates that are in the set."""
        if len(candidates) == len(self.replicas):
            return self.states
        # Compare keys, not replicas: other fields of a replica may have
        # changed since the query began.
        keys = {replica_key(candidate) for candidate in candidates}
        return [
            state for state in self.states if replica_key(state.replica) in keys
        ]
