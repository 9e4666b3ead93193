import asyncio
import time

from behave import then, when
from returns.result import Failure, Success

from crocusroad_core.admission import (
    AdmissionController,
    ConcurrencyLimit,
    LiveInstanceCount,
)
from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import RequestKind
from crocusroad_node.claims import ClaimStore
from crocusroad_node.platform import Entry, StoreFault
from crocusroad_node.serving import ActionCall, ActionRunner, ActionService
from tests.features.steps.poison_fleet import FRONT, INSTANCES, POLICY
from tests.properties.claims import uuid7
from tests.support.fake_upstreams import crash, healthy
from tests.support.virtual_loop import run_virtual


class ActionFrontRegistry(FrontRegistry):
    def find(self, name):
        kinds = {'do': RequestKind('do', 1, 2.0, False, 100)}
        return FRONT._replace(kinds=kinds)


class MemoryKv:
    def __init__(self):
        self.entries = {}
        self.revision = 0

    async def read(self, key):
        return Success(self.entries.get(key))

    async def swap(self, key, value, expected, lease=''):
        entry = self.entries.get(key)
        if expected != (entry.revision if entry else 0):
            return Failure(StoreFault.conflict)
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        return Success(self.revision)

    async def grant(self, ttl):
        return Success('lease')


async def crash_on_poison_body(upstreams, replica, message, timeout):
    is_poison = message['query'] == {'q': 'poison'}
    fault = crash if is_poison else healthy
    return await fault(upstreams, replica, message, timeout)


class ActionFleet:
    def __init__(self, fleet):
        self.upstreams = fleet.upstreams
        for name in self.upstreams.faults:
            self.upstreams.faults[name] = crash_on_poison_body
        self.calls = 0
        kv = MemoryKv()
        self.services = [
            ActionService(
                ActionFrontRegistry(),
                ActionRunner(
                    self.upstreams, lambda front: POLICY, service._guard
                ),
                ClaimStore(kv),
                f'holder-{number}',
                AdmissionController(ConcurrencyLimit(), LiveInstanceCount()),
            )
            for number, service in enumerate(fleet.services)
        ]

    async def execute(self, instance, key, body='poison'):
        self.calls += 1
        request = {'kind': 'do', 'shard': 's0', 'body': {'q': body}}
        call = ActionCall(str(self.calls), 'front', 'token', key, request)
        return await self.services[instance].execute(call)


@when('one action is sent to each instance in turn, three times, with new keys')
def step_actions(context):
    keys = [uuid7(number, time.time()) for number in range(3 * INSTANCES + 1)]

    async def main():
        actions = ActionFleet(context.fleet)
        context.results = [
            await actions.execute(number % INSTANCES, key)
            for number, key in enumerate(keys[:-1])
        ]
        context.sent = len(actions.upstreams.sent)
        await asyncio.sleep(1)
        context.repeat = await actions.execute(1, keys[0])
        context.harmless = await actions.execute(1, keys[-1], 'innocent')

    run_virtual(main())


@then('the action was sent to at most {count:d} upstreams')
def step_sent(context, count):
    assert 0 < context.sent <= count, context.sent


@then('the last action is refused as "{kind}", with ran "{ran}"')
def step_last_action(context, kind, ran):
    check_refusal(context.results[-1], kind, ran)


@then('a repeat of the first key is refused as "{kind}", with ran "{ran}"')
def step_repeat(context, kind, ran):
    check_refusal(context.repeat, kind, ran)


def check_refusal(result, kind, ran):
    refusal = result.failure()
    assert (refusal.kind.value, refusal.ran) == (kind, ran), refusal


@then('an action with another body is answered')
def step_harmless(context):
    assert isinstance(context.harmless, Success), context.harmless
