"""A model of the KV whose calls can fail; time and fates are arguments."""

from copy import deepcopy
from enum import StrEnum

from crocusroad_core.kv import CallFault, ReadReply, Swapped
from tests.standins.store import Store


class CallFate(StrEnum):
    """The fate of one call."""

    ok = 'ok'
    refused = 'refused'  # the connection failed
    lost_before = 'lost-before'  # the request never reached the store
    lost_after = 'lost-after'  # it took effect, but the reply was lost
    delayed = 'delayed'  # no reply, and it takes effect later
    stale = 'stale'  # a read that a lagging replica answers


class ModelKv:
    """A store whose calls each have a given fate."""

    def __init__(self):
        self.store = Store()
        self.stale_store = deepcopy(self.store)
        self.delayed = []
        self.writes = []  # (key, value, revision) of every write

    def refresh_stale_store(self):
        """Copy the current state of the store to the stale replica."""
        self.stale_store = deepcopy(self.store)

    def read(self, key, fate, now):
        if fate is CallFate.refused:
            return CallFault.refused
        if fate not in (CallFate.ok, CallFate.stale):
            return CallFault.lost
        store = self.stale_store if fate is CallFate.stale else self.store
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

    def apply_delayed(self, index, now):
        """Apply one of the delayed writes to the store."""
        if self.delayed:
            self.apply(*self.delayed.pop(index % len(self.delayed)), now)

    def apply(self, key, value, expected, lease, now):
        status, revision = self.store.swap(key, value, expected, lease, now)
        if status == 200:
            self.writes.append((key, value, revision))
            return Swapped(revision)
        return CallFault.lease_gone if status == 404 else CallFault.conflict
