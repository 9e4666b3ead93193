"""Instances that register in a store in memory, in virtual time."""

import asyncio

from behave import given, then, when
from returns.result import Success

from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.gateway._fleet_membership import FleetMembership
from crocusroad_node.kv import Batch, Entry
from tests.support.virtual_loop import run_virtual

CALL_SECONDS = 0.004  # round trip


class MemoryStore:
    """A store that grants one lease to each writer and keeps its entries."""

    def __init__(self):
        self.entries = {}
        self.listings = {}

    def client(self, name):
        self.listings[name] = 0
        return StoreClient(self, name)


class StoreClient:
    """The calls of one instance to the store."""

    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def grant(self, ttl):
        await asyncio.sleep(CALL_SECONDS)
        return Success(self._name)

    async def renew(self, lease):
        await asyncio.sleep(CALL_SECONDS)
        return Success(None)

    async def read(self, key):
        await asyncio.sleep(CALL_SECONDS)
        return Success(None)

    async def swap(self, key, value, expected, lease=''):
        await asyncio.sleep(CALL_SECONDS)
        self._store.entries[key] = Entry(key, value, 1)
        return Success(1)

    async def list_stale(self, prefix):
        await asyncio.sleep(CALL_SECONDS)
        self._store.listings[self._name] += 1
        return Success(Batch(1, list(self._store.entries.values())))


@given('{count:d} instances that register within {spread:g} seconds')
def step_register(context, count, spread):
    context.count = count
    context.spread = spread


@when('{seconds:g} seconds have passed')
def step_passed(context, seconds):
    context.store = MemoryStore()
    context.selectors = {}

    async def run_member(number):
        name = f'g{number}'
        own = FleetMember(name, 'a', f'10.0.0.{number}:1', 1000)
        selector = context.selectors[name] = SourceSelector(own)
        client = context.store.client(name)
        await asyncio.sleep(context.spread * number / context.count)
        await FleetMembership(
            client, 'members/', own, selector.on_members
        ).run()

    async def main():
        tasks = [
            asyncio.create_task(run_member(number))
            for number in range(context.count)
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    run_virtual(main())


@then('each of them knows {count:d} instances')
def step_known(context, count):
    assert {selector.count for selector in context.selectors.values()} == {
        count
    }


@then('at most {count:d} of them read the store')
def step_readers(context, count):
    readers = sum(selector.is_reader for selector in context.selectors.values())
    assert 1 <= readers <= count, readers


@then('each of them has listed the members at most {count:d} times')
def step_listed(context, count):
    max_listings = max(context.store.listings.values())
    assert max_listings <= count, max_listings
