import asyncio
from collections import Counter
from random import Random

from behave import given, then, when
from returns.result import Success

from crocusroad_core.discovery import ReplicaTable
from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import (
    AttemptFailure,
    FailureReason,
    Finish,
    Gather,
    LatenessEstimator,
    Outcome,
    Plan,
    Policy,
    Reply,
    Send,
)
from crocusroad_core.retry_budget import RetryBudget
from crocusroad_core.routes import CurrentRouteTable
from crocusroad_core.routing import Router
from crocusroad_core.sources import FleetMember, SourceSelector
from crocusroad_node.gateway._pools import Pools
from crocusroad_platform._registrations import decode_registration
from tests.properties import fleet

USUAL = 0.02


class AdoptsAnything(CurrentRouteTable):
    def adopt(self, table, now):
        self.table = table
        return True


class DropsAtOnce(ReplicaTable):
    def _may_have_lapsed(self, now):
        return False


class HoldsForEver(ReplicaTable):
    def expire(self, now):
        return []


class Unshared(RetryBudget):
    def set_instances(self, count):
        self._effective_instances = 1
        self._apply_bounds()


VARIANTS = {
    'adopts-anything': ('CurrentRouteTable', AdoptsAnything),
    'drops-at-once': ('ReplicaTable', DropsAtOnce),
    'holds-for-ever': ('ReplicaTable', HoldsForEver),
    'budget-unshared': ('RetryBudget', Unshared),
}


@then('the fleet property "{name}" holds')
def step_holds(context, name):
    getattr(fleet, name)()


@then('the fleet property "{name}" fails for the variant "{variant}"')
def step_caught(context, name, variant):
    replaced, bad = VARIANTS[variant]
    good = getattr(fleet, replaced)
    setattr(fleet, replaced, bad)
    try:
        getattr(fleet, name)()
    except AssertionError:
        return
    finally:
        setattr(fleet, replaced, good)
    raise RuntimeError(f'{name} does not catch {variant}')


@then('the registration {text} is not understood')
def step_odd(context, text):
    assert not isinstance(decode_registration('servers/i', text), Success)


@then('the registration {text} names a replica that leaves')
def step_understood(context, text):
    entry = decode_registration('servers/i-7', text).unwrap()
    assert entry.name == 'i-7'
    assert entry.is_draining
    assert entry.warmup_seconds == 1.5
    assert entry.start_time_ms == 1754219257000


def replicas(count, shard='s'):
    return tuple(
        Replica(f'{shard}-{number}', f'10.0.0.{number}:1', 'a', 2, 25)
        for number in range(count)
    )


@given('a router that knows {count:d} replicas alike')
def step_router(context, count):
    context.router = Router('a', Random(1).random)
    context.all = replicas(count)
    for number in range(100):
        for one in context.all:
            context.router.on_sent(one, number / 10)
            context.router.on_reply(one, USUAL, 0.0, number / 10 + USUAL)


@given(
    'a router that knows {count:d} replicas alike, where a connection costs'
    ' {ms:d} ms'
)
def step_linked(context, count, ms):
    context.linked = set()
    context.router = Router(
        'a',
        Random(1).random,
        lambda one: 0 if one.name in context.linked else ms / 1000,
    )
    context.all = replicas(count)
    other = replicas(1, 'other')[0]
    for _ in range(400):  # what the zone usually takes is known
        context.router.on_sent(other, 0)
        context.router.on_reply(other, USUAL, 0.0, 0)


@when('{count:d} requests are made {seconds:g} seconds apart')
def step_far_apart(context, count, seconds):
    draw = Random(2)
    for number in range(count):
        now = number * seconds
        picked = context.router.pick('s', context.all, now)
        context.linked.add(picked.name)
        context.router.on_sent(picked, now)
        took = USUAL * draw.uniform(0.7, 1.3)
        context.router.on_reply(picked, took, 0.0, now + took)


@then('one replica got them all')
def step_one_got_all(context):
    assert len(context.linked) == 1, context.linked


@when('one of them has owed an answer for {times:d} times the usual')
def step_owes(context, times):
    context.router.on_sent(context.all[0], 10)
    context.now = 10 + times * USUAL


@when('a request to one of them finds another in its place')
def step_absent(context):
    context.now = 20
    context.router.on_sent(context.all[0], context.now)
    context.router.on_failure(
        context.all[0], FailureReason.not_here, 0.0, context.now
    )


@then(
    'with the other gone as well nobody is picked until {seconds:g} seconds'
    ' later'
)
def step_nobody(context, seconds):
    alone = context.all[:1]
    router = context.router
    assert router.pick('s', alone, context.now + seconds - 0.1) is None
    assert router.pick('s', alone, context.now + seconds + 0.1) == alone[0]


@then('every one of {count:d} further picks takes the other')
def step_avoided(context, count):
    for _ in range(count):
        picked = context.router.pick('s', context.all, context.now)
        assert picked is context.all[1] or picked == context.all[1]


@then('after its late answer it is picked again')
def step_picked_again(context):
    router = context.router
    router.on_abandoned(context.all[0], 0.06, context.now)
    router.on_abandoned_end(context.all[0], context.now, is_answered=True)
    for _ in range(20):  # its latency is forgiven by further answers
        router.on_sent(context.all[0], context.now)
        router.on_reply(context.all[0], USUAL, 0.0, context.now)
    for _ in range(4):
        router.on_sent(context.all[1], context.now)
    assert router.pick('s', context.all, context.now) == context.all[0]


@given(
    'a fan-out to {count:d} shards of which {share:g} are enough,'
    ' due after {due:g} seconds'
)
def step_fan_out(context, count, share, due):
    shards = {
        f's{number}': replicas(3, f's{number}') for number in range(count)
    }
    context.shards = shards
    context.gone = set()
    plan = Plan(
        ShardMap(1, shards),
        20,
        10.0,
        True,
        merge=lambda parts, limit: [one for part in parts for one in part],
        max_replicas=2,
        min_shard_ratio=share,
        answer_by=due,
    )
    policy = Policy(
        pick=lambda shard, some, now: (
            None if shard in context.gone else some[0]
        ),
        hedge_delay=lambda shard, now: None,
        spend=lambda shard, now: True,
        allow_replacement=lambda has_run, now: False,
    )
    context.gather = Gather(plan, policy)


def finish_of(commands):
    return next((one for one in commands if isinstance(one, Finish)), None)


@when('{count:d} of them answer at once')
def step_answer(context, count):
    sends = context.gather.begin(0.0)
    for send in sends[:count]:
        attempt = send.attempt
        reply = Reply(attempt.serial, attempt.shard, 1, [b'r'])
        assert finish_of(context.gather.on_reply(reply, 0.01)) is None


@then('nothing is answered before it is due')
def step_not_yet(context):
    assert finish_of(context.gather.on_tick(0.09)) is None
    assert context.gather.next_wake() == 0.1


@then('at {now:g} seconds it is answered with {got:d} of {count:d} shards')
def step_in_time(context, now, got, count):
    finish = finish_of(context.gather.on_tick(now))
    assert finish.outcome is Outcome.answered
    assert finish.coverage['answered'] == got
    assert finish.coverage['shards'] == count
    assert len(finish.coverage['missing']) == count - got


@when('{count:d} of them have no replica')
def step_no_replica(context, count):
    context.gone = set(list(context.shards)[:count])
    context.commands = context.gather.begin(0.0)


@then('it has failed as not run, nothing was sent and nothing is left running')
def step_failed(context):
    finish = finish_of(context.commands)
    assert finish.outcome is Outcome.failed
    assert not finish.may_have_run
    assert context.commands == [finish]
    assert not context.gather.running


@when('every replica it asks breaks')
def step_breaks(context):
    commands = context.gather.begin(0.0)
    context.asked = set()
    while sends := [one for one in commands if isinstance(one, Send)]:
        for send in sends:
            context.asked.add(send.attempt.replica.name)
            lost = AttemptFailure(send.attempt.serial, FailureReason.broken)
            commands = context.gather.on_failure(lost, 0.01)


@then('{count:d} replicas were asked')
def step_asked(context, count):
    assert len(context.asked) == count, context.asked


@then(
    'a punctual instance begins {least:d} ms early, one that is {late:d} ms'
    ' late {then:d} ms'
)
def step_margin(context, least, late, then):
    margin = LatenessEstimator()
    margin.record(0.0)
    assert round(margin.margin * 1000) == least
    margin.record(late / 1000)
    assert round(margin.margin * 1000) == then
    for _ in range(200):
        margin.record(0.0)
    assert round(margin.margin * 1000) == least
    margin.record(5.0)
    assert margin.margin <= 0.045


@then('at {now:g} seconds it waits, and the eighth answer ends it')
def step_waits(context, now):
    gather = context.gather
    assert finish_of(gather.on_tick(now)) is None
    assert gather.has_waited_for_shards
    attempt = next(iter(gather.running.values()))
    reply = Reply(attempt.serial, attempt.shard, 1, [b'r'])
    assert finish_of(gather.on_reply(reply, now + 0.03))
    assert gather.has_waited_for_shards


@then('at {now:g} seconds it goes out without having waited')
def step_goes_out(context, now):
    assert finish_of(context.gather.on_tick(now))
    assert not context.gather.has_waited_for_shards


@given('an instance that follows {count:d} readers')
def step_follows(context, count):
    members = [
        FleetMember(f'm{number}', 'a', f'10.0.0.{number}:1', 10)
        for number in range(12)
    ]
    rings = [SourceSelector(one) for one in members]
    for ring in rings:
        ring.on_members(members)
    context.ring = next(one for one in rings if not one.is_reader)
    context.sources = context.ring.sources(0)
    assert len(context.sources) == count


@when('the first of them answers nothing')
def step_silent(context):
    context.ring.on_fault(context.sources[0], 0, is_unresponsive=True)


@when('the first of them has lost the store')
def step_behind(context):
    context.ring.on_fault(context.sources[0], 0, is_unresponsive=False)


@then(
    'the first is left out for {seconds:g} seconds and asked again after them'
)
def step_left_out(context, seconds):
    ring, first = context.ring, context.sources[0]
    assert first not in ring.sources(seconds - 0.01)
    assert first in ring.sources(seconds + 0.01)


@when(
    '{rate:d} requests a second come for {seconds:d} seconds and {refusing}'
    ' refuse {part:g}'
)
def step_refusing(context, rate, seconds, refusing, part):
    count = {'one': 1, 'both': 2}[refusing]
    context.now = 20.0
    context.rate = rate
    context.refused, _ = ask_at(context, seconds, context.all[:count], part)


def ask_at(context, seconds, refusing, part):
    """Return the share that is refused, and how many each replica got."""
    draw, router, running = Random(3), context.router, []
    asked = Counter()
    refused = 0
    for _ in range(context.rate * seconds):
        context.now += 1 / context.rate
        while running and running[0][0] <= context.now:
            at, one = running.pop(0)
            router.on_reply(one, USUAL, 0.0, at)
        one = router.pick('s', context.all, context.now)
        router.on_sent(one, context.now)
        asked[one.name] += 1
        if one in refusing and draw.random() < part:
            refused += 1
            router.on_failure(one, FailureReason.shed, 0, context.now + 0.001)
        else:
            running.append((context.now + USUAL, one))
    for at, one in running:
        router.on_reply(one, USUAL, 0.0, at)
    context.now += USUAL
    return refused / asked.total(), asked


@then('at most {share:g} of them are refused')
def step_refused_share(context, share):
    assert context.refused <= share, context.refused


@then(
    'once none has refused for {seconds:d} seconds, each is asked while the'
    ' other is busy'
)
def step_both_again(context, seconds):
    ask_at(context, seconds, (), 0)
    for _ in range(2):
        first = context.router.pick('s', context.all, context.now)
        context.router.on_sent(first, context.now)
        second = context.router.pick('s', context.all, context.now)
        assert second != first
        context.router.on_sent(second, context.now)
        for one in (first, second):
            context.router.on_reply(one, USUAL, 0.0, context.now + USUAL)
        context.now += 1


@given(
    'a router that knew {count:d} replicas before their service was configured'
)
def step_unconfigured(context, count):
    context.router = Router('a', Random(1).random)
    context.pools = Pools(b'x-request-id', 'a')
    context.pools.on_instances(3, 1)
    context.all = replicas(count)
    context.before = tuple(one._replace(connections=1) for one in context.all)
    context.router.on_front('s', context.before, 0)
    context.first = context.router.pick('s', context.before, 0)
    context.router.on_front('s', context.all, 1)


@when('one of them was asked and broke off')
def step_broke(context):
    context.first = context.router.pick('s', context.all, 1)
    context.router.on_sent(context.first, 1)
    context.router.on_failure(context.first, FailureReason.broken, 0.01, 1.01)


@then('another one is picked, also by a query that began before')
def step_another(context):
    for known in (context.all, context.before):
        rest = tuple(one for one in known if one.name != context.first.name)
        picked = context.router.pick('s', rest, 1.01)
        assert picked in context.all
        assert picked.name != context.first.name


@then('as many connections are opened to it as are configured')
def step_connections(context):
    async def main():
        pools = context.pools
        for known in (context.before, context.all):
            pool = pools.pool(known[0])
        return pool.most

    assert asyncio.run(main()) == context.all[0].connections // 4
