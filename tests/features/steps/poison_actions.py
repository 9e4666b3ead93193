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
from crocusroad_node.claims import ClaimKeeper
from crocusroad_node.platform import Entry, StoreFault
from crocusroad_node.serving import ActionCall, ActionRunner, ActionService
from tests.features.steps.poison_fleet import FRONT, INSTANCES, POLICY
from tests.properties.claims import uuid7
from tests.support.fake_upstreams import poison, whole
from tests.support.virtual_loop import run_virtual


class Book(FrontRegistry):
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
        old = self.entries.get(key)
        if expected != (old.revision if old else 0):
            return Failure(StoreFault.conflict)
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        return Success(self.revision)

    async def grant(self, ttl):
        return Success('lease')


async def crash_on_body(upstreams, replica, message, timeout):
    is_poison = message['query'] == {'q': 'poison'}
    run = poison if is_poison else whole
    return await run(upstreams, replica, message, timeout)


class Actions:
    def __init__(self, cluster):
        self.upstreams = cluster.upstreams
        for name in self.upstreams.faults:
            self.upstreams.faults[name] = crash_on_body
        self.calls = 0
        kv = MemoryKv()
        self.services = [
            ActionService(
                Book(),
                ActionRunner(
                    self.upstreams, lambda front: POLICY, service._guard
                ),
                ClaimKeeper(kv),
                f'holder-{number}',
                AdmissionController(ConcurrencyLimit(), LiveInstanceCount()),
            )
            for number, service in enumerate(cluster.services)
        ]

    async def execute(self, instance, key, body='poison'):
        self.calls += 1
        request = {'kind': 'do', 'shard': 's0', 'body': {'q': body}}
        call = ActionCall(str(self.calls), 'front', 'token', key, request)
        return await self.services[instance].execute(call)


@when('one action comes to each instance in turn, three times, with new keys')
def step_actions(context):
    keys = [uuid7(number, time.time()) for number in range(3 * INSTANCES + 1)]

    async def main():
        actions = Actions(context.cluster)
        context.said = [
            await actions.execute(number % INSTANCES, key)
            for number, key in enumerate(keys[:-1])
        ]
        context.sent = len(actions.upstreams.asked)
        await asyncio.sleep(1)
        context.repeat = await actions.execute(1, keys[0])
        context.other = await actions.execute(1, keys[-1], 'innocent')

    run_virtual(main())


@then('at most {count:d} upstreams were sent the action')
def step_sent(context, count):
    assert 0 < context.sent <= count, context.sent


@then('the last action is refused as "{kind}", run "{ran}"')
def step_last_action(context, kind, ran):
    check_refusal(context.said[-1], kind, ran)


@then('a repeat of the first key is refused as "{kind}", run "{ran}"')
def step_repeat(context, kind, ran):
    check_refusal(context.repeat, kind, ran)


def check_refusal(result, kind, ran):
    refusal = result.failure()
    assert (refusal.kind.value, refusal.ran) == (kind, ran), refusal


@then('an action of another body is answered')
def step_other(context):
    assert isinstance(context.other, Success), context.other
