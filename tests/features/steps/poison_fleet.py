import asyncio

from behave import given, then, when
from returns.result import Success

from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.gather import Policy
from crocusroad_core.poison import PoisonTracker
from crocusroad_node.serving import (
    NO_GUARD,
    SearchCall,
    SearchService,
    build_crash_guard,
)
from tests.properties.poison import MAP, UPSTREAMS
from tests.support.fake_upstreams import FakeUpstreams, crash, healthy
from tests.support.virtual_loop import run_virtual

INSTANCES = 4
FRONT = Front(
    'front',
    1,
    {1: MAP},
    {'token': Caller('caller', 'token', 10**6)},
    {'find': RequestKind('find', 1, 2.0, True, 100)},
)
POLICY = Policy(
    lambda shard, candidates, now: candidates[0],
    lambda shard, now: None,
    lambda shard, now: True,
    allow_replacement=lambda may_have_run, now: True,
)


class SingleFrontRegistry(FrontRegistry):
    def find(self, name):
        return FRONT


async def crash_on_poison(upstreams, replica, message, timeout):
    """Crash the replica of a poison request, with all requests it runs."""
    if message['query'] == {'q': 'poison'}:
        return await crash(upstreams, replica, message, timeout)
    answer = await healthy(upstreams, replica, message, timeout)
    if replica.name in upstreams.crashed:
        return await crash(upstreams, replica, message, timeout)
    return answer


class SimulatedFleet:
    def __init__(self, report):
        self.report = report
        faults = dict.fromkeys(UPSTREAMS, crash_on_poison)
        self.upstreams = FakeUpstreams(faults)
        self.trackers = [PoisonTracker() for _ in range(INSTANCES)]
        self.services = [self.service(tracker) for tracker in self.trackers]

    def service(self, tracker):
        async def publish(crash_report):
            if self.report == 'lost':
                await asyncio.sleep(60)
            await asyncio.sleep(0.004)
            for other in self.trackers:
                now = asyncio.get_running_loop().time()
                other.on_report(crash_report, now)

        guard = NO_GUARD
        if self.report != 'none':
            guard = build_crash_guard(tracker, publish)
        return SearchService(
            SingleFrontRegistry(),
            self.upstreams,
            lambda front: POLICY,
            guard=guard,
        )

    async def ask(self, instance, query):
        request = {'kind': 'find', 'query': {'q': query}}
        call = SearchCall('id', 'front', 'token', request)
        return await self.services[instance].search(call)


@given('a fleet whose crash reports are {report}')
def step_poison_fleet(context, report):
    context.fleet = SimulatedFleet(report)


@given('a fleet without a crash guard')
def step_no_guard(context):
    context.fleet = SimulatedFleet('none')


@when('the poison request is sent to each instance in turn, twice')
def step_in_turn(context):
    async def main():
        turns = list(range(INSTANCES)) * 2
        fleet = context.fleet
        return [await fleet.ask(instance, 'poison') for instance in turns]

    context.answers = run_virtual(main())
    context.crashed = context.fleet.upstreams.crashed


@when('the poison and harmless requests are sent to all instances at once')
def step_at_once(context):
    async def main():
        fleet = context.fleet
        calls = [
            fleet.ask(instance, name)
            for name in ('poison', 'i1', 'i2', 'i3')
            for instance in range(INSTANCES)
        ]
        await asyncio.gather(*calls)
        context.crashed = set(fleet.upstreams.crashed)
        fleet.upstreams.crashed.clear()  # the crashed upstreams restart
        names = ('poison', 'i1', 'i2', 'i3')
        return [await fleet.ask(0, name) for name in names]

    context.answers = run_virtual(main())


@then('the poison request crashed at most {count:d} upstreams')
def step_crashed(context, count):
    assert 0 < len(context.crashed) <= count, context.crashed


@then('the last repeat is refused as "quarantined", with ran "no"')
def step_last(context):
    refusal = context.answers[-1].failure()
    assert (refusal.kind.value, refusal.ran) == ('quarantined', 'no')
    assert refusal.retry_after > 0


@then('afterwards the poison request is refused, harmless ones are answered')
def step_after(context):
    first, *others = context.answers
    assert first.failure().kind.value == 'quarantined', first
    assert all(isinstance(result, Success) for result in others), others


@then('the poison request crashed more than {count:d} upstreams')
def step_crashed_more(context, count):
    assert len(context.crashed) > count, context.crashed
