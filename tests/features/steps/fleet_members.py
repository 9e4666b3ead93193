"""Instances that enter a store in memory, in virtual time."""

import asyncio

from behave import given, then, when
from returns.result import Success

from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.gateway._fleet_membership import FleetMembership
from crocusroad_node.kv import Batch, Entry
from tests.support.virtual_loop import run_virtual

CALL_SECONDS = 0.004  # there and back


class Entries:
    """A store that grants one lease a writer and keeps what it writes."""

    def __init__(self):
        self.held = {}
        self.listings = {}

    def view(self, name):
        self.listings[name] = 0
        return View(self, name)


class View:
    """The store as one instance calls it."""

    def __init__(self, entries, name):
        self._entries = entries
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
        self._entries.held[key] = Entry(key, value, 1)
        return Success(1)

    async def list_stale(self, prefix):
        await asyncio.sleep(CALL_SECONDS)
        self._entries.listings[self._name] += 1
        return Success(Batch(1, list(self._entries.held.values())))


@given('{count:d} instances that enter the store within {spread:g} seconds')
def step_enter(context, count, spread):
    context.count = count
    context.spread = spread


@when('{seconds:g} seconds have passed')
def step_passed(context, seconds):
    context.entries = Entries()
    context.rings = {}

    async def one(number):
        name = f'g{number}'
        own = FleetMember(name, 'a', f'10.0.0.{number}:1', 1000)
        ring = context.rings[name] = SourceSelector(own)
        view = context.entries.view(name)
        await asyncio.sleep(context.spread * number / context.count)
        await FleetMembership(view, 'members/', own, ring.on_members).run()

    async def main():
        tasks = [asyncio.create_task(one(at)) for at in range(context.count)]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    run_virtual(main())


@then('each of them knows {count:d} instances')
def step_known(context, count):
    assert {one.count for one in context.rings.values()} == {count}


@then('at most {count:d} of them read the store')
def step_readers(context, count):
    found = sum(one.is_reader for one in context.rings.values())
    assert 1 <= found <= count, found


@then('each of them has listed the others at most {count:d} times')
def step_listed(context, count):
    most = max(context.entries.listings.values())
    assert most <= count, most
