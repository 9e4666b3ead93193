"""The replicas that an instance knows, by front."""

from collections.abc import Iterable

from crocusroad_core.fronts import Replica
from crocusroad_core.routing._replica_group import Group
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._zone_latency import Zones

Key = tuple[str, str]  # name and address, which are both used again


def key_of(replica: Replica) -> Key:
    """Return what tells a replica from others at its address."""
    return replica.name, replica.address


class Replicas:
    """The state of each replica."""

    def __init__(self, zones: Zones) -> None:
        self._zones = zones
        self._states: dict[Key, ReplicaState] = {}
        self._fronts: dict[str, Group] = {}
        self._others = Group()  # replicas that no front names
        self._leaving: frozenset[str] = frozenset()

    def state(self, replica: Replica, now: float) -> ReplicaState:
        """Return the state of a replica."""
        state = self._states.get(key_of(replica))
        if state is None:
            zone = self._zones.find(replica.zone)
            state = ReplicaState(replica, zone, self._others, now)
            state.is_listed_leaving = self._is_listed(replica)
            self._states[key_of(replica)] = state
        return state

    def on_front(
        self,
        front: str,
        replicas: Iterable[Replica],
        now: float,
    ) -> set[Key]:
        """Take a front's replicas; return those that it no longer has."""
        former = self._fronts.get(front, self._others).states
        group = Group()
        for replica in replicas:
            state = self.state(replica, now)
            # Its slots and connections may be said anew.
            state.replica = replica
            state.group = group
            group.states[key_of(replica)] = state
        self._fronts[front] = group
        gone = former.keys() - group.states.keys()
        for key in gone:
            self._states.pop(key, None)
        return gone

    def on_leaving(self, names: Iterable[str]) -> None:
        """Take the names or addresses listed as leaving."""
        self._leaving = frozenset(names)
        for state in self._states.values():
            state.is_listed_leaving = self._is_listed(state.replica)

    def _is_listed(self, replica: Replica) -> bool:
        leaving = self._leaving
        return replica.name in leaving or replica.address in leaving
