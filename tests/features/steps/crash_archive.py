"""Steps that restart an instance with crash reports in a store in memory."""

import asyncio
import json
import time
from contextlib import suppress
from types import SimpleNamespace

from behave import given, then, when
from returns.result import Failure, Success

from crocusroad_core.poison import PoisonTracker
from crocusroad_node.gateway._crash_archive import CrashArchive
from crocusroad_node.kv import Batch, Entry
from crocusroad_wire import CrashReport

PREFIX, OWN_NAME = 'crashes/', 'g0'
KEY = PREFIX + OWN_NAME


class MemoryStore:
    """A store with one entry; listings fail unless `is_listing` is set."""

    def __init__(self):
        self.value = ''
        self.revision = 7
        self.is_listing = True

    @property
    def entry(self):
        return Entry(KEY, self.value, self.revision)

    async def list_stale(self, prefix):
        listed = Batch(self.revision, [self.entry])
        return Success(listed) if self.is_listing else Failure('down')

    async def read(self, key):
        return Success(self.entry)

    async def grant(self, seconds):
        return Success('1')

    async def renew(self, lease):
        return Success(None)

    async def swap(self, key, value, revision, lease):
        if revision != self.revision:
            return Failure('conflict')
        self.value = value
        self.revision += 1
        return Success(self.revision)


@given('an entry of crash reports that was written {seconds:d} seconds ago')
def step_entry(context, seconds):
    context.store = MemoryStore()
    context.written_at = time.time() - seconds


@given('it has reports for {first:d} and for {second:d} seconds more')
def step_reports(context, first, second):
    reports = [
        [[name, ['r0'], []], seconds]
        for name, seconds in (('first', first), ('second', second))
    ]
    context.store.value = json.dumps([context.written_at, reports])


def run_archive(context, seconds, own=None):
    """Run the archive of an instance for some time."""
    tracker = PoisonTracker()

    def receive(reports):
        for report, left in reports:
            tracker.on_report(report, time.monotonic(), left)

    async def main():
        archive = CrashArchive(
            context.store, PREFIX, OWN_NAME, tracker, receive
        )
        if own is not None:
            receive([(own, 600)])
            archive.publish(own)
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await archive.run()

    asyncio.run(main())
    context.known = SimpleNamespace(
        seconds={
            name: tracker.seconds_left(name, time.monotonic())
            for name in ('first', 'second')
        }
    )


@when('an instance reads it as it starts')
def step_read(context):
    run_archive(context, 0.2)


@when('an instance whose listings fail writes a report of its own')
def step_write(context):
    context.store.is_listing = False
    run_archive(context, 3, CrashReport('own', ['r1'], []))


@then('it holds only the first, for {seconds:d} seconds')
def step_held(context, seconds):
    found = context.known.seconds
    assert abs(found['first'] - seconds) < 5, found
    assert not found['second'], found


@then('the entry has {count:d} reports')
def step_entry_reports(context, count):
    _, reports = json.loads(context.store.value)
    assert len(reports) == count, reports
