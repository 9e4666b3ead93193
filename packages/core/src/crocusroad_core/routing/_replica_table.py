"""States of all replicas that an instance knows, by front."""

from collections.abc import Iterable

from crocusroad_core.fronts import Replica
from crocusroad_core.routing._replica_group import ReplicaGroup
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._zone_latency import ZoneLatencies

# Name and address. Either of them may be reused by another replica.
ReplicaKey = tuple[str, str]


def replica_key(replica: Replica) -> ReplicaKey:
    """Return the key that distinguishes replicas at the same address."""
    return replica.name, replica.address


class ReplicaTable:
    """States of replicas, grouped by front."""

    def __init__(self, zones: ZoneLatencies) -> None:
        self._zones = zones
        self._states: dict[ReplicaKey, ReplicaState] = {}
        self._groups: dict[str, ReplicaGroup] = {}
        self._ungrouped = ReplicaGroup()  # replicas that no front names
        self._leaving: frozenset[str] = frozenset()  # names and addresses

    def state(self, replica: Replica, now: float) -> ReplicaState:
        """Return the state of a replica, created on first use."""
        state = self._states.get(replica_key(replica))
        if state is None:
            zone = self._zones.find(replica.zone)
            state = ReplicaState(replica, zone, self._ungrouped, now)
            state.is_listed_leaving = self._is_listed(replica)
            self._states[replica_key(replica)] = state
        return state

    def on_front(
        self,
        front: str,
        replicas: Iterable[Replica],
        now: float,
    ) -> set[ReplicaKey]:
        """Replace the replicas of a front.

        Returns:
            The keys of the front's former replicas, whose state is dropped.
        """
        former = self._groups.get(front, self._ungrouped).states
        group = ReplicaGroup()
        for replica in replicas:
            state = self.state(replica, now)
            # The number of its slots and connections may have changed.
            state.replica = replica
            state.group = group
            group.states[replica_key(replica)] = state
        self._groups[front] = group
        removed = former.keys() - group.states.keys()
        for key in removed:
            self._states.pop(key, None)
        return removed

    def on_leaving(self, names: Iterable[str]) -> None:
        """Replace the names and addresses that are listed as leaving."""
        self._leaving = frozenset(names)
        for state in self._states.values():
            state.is_listed_leaving = self._is_listed(state.replica)

    def _is_listed(self, replica: Replica) -> bool:
        leaving = self._leaving
        return replica.name in leaving or replica.address in leaving
