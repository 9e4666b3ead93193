"""The store behind calls that can fail; time and faults are arguments."""

from copy import deepcopy
from enum import StrEnum

from crocusroad_core.kv import CallFault, ReadReply, Swapped
from tests.standins.store import Store


class CallFate(StrEnum):
    """What happens to one call."""

    ok = 'ok'
    refused = 'refused'  # outage, seen at connect
    lost_before = 'lost-before'  # never reached the store
    lost_after = 'lost-after'  # took effect, its reply was lost
    delayed = 'delayed'  # lost, and takes effect later
    stale = 'stale'  # a read answered by a replica that lags


class ModelKv:
    """Calls of several clients to one store, each with its fate."""

    def __init__(self):
        self.store = Store()
        self.lagging = deepcopy(self.store)
        self.delayed = []
        self.truth = []  # (key, value, revision) of every write

    def lag(self):
        """Let the stale replica be as the store is now."""
        self.lagging = deepcopy(self.store)

    def read(self, key, fate, now):
        if fate is CallFate.refused:
            return CallFault.refused
        if fate not in (CallFate.ok, CallFate.stale):
            return CallFault.lost
        store = self.lagging if fate is CallFate.stale else self.store
        entry = store.read(key, now)
        if entry is None:
            return ReadReply(0, None)
        return ReadReply(entry['revision'], entry['value'])

    def swap(self, key, value, expected, lease, fate, now):
        if fate is CallFate.refused:
            return CallFault.refused
        if fate is CallFate.lost_before:
            return CallFault.lost
        if fate is CallFate.delayed:
            self.delayed.append((key, value, expected, lease))
            return CallFault.lost
        event = self.apply(key, value, expected, lease, now)
        return CallFault.lost if fate is CallFate.lost_after else event

    def land(self, place, now):
        """Let a delayed write reach the store."""
        if self.delayed:
            self.apply(*self.delayed.pop(place % len(self.delayed)), now)

    def apply(self, key, value, expected, lease, now):
        status, revision = self.store.swap(key, value, expected, lease, now)
        if status == 200:
            self.truth.append((key, value, revision))
            return Swapped(revision)
        return CallFault.lease_gone if status == 404 else CallFault.conflict
