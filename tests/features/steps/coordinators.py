from random import Random

from behave import given, then, when

from crocusroad_core.coordinators import (
    Backlog,
    CoordinatorSelector,
    round_trip_seconds,
    shard_seconds,
)
from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather import Gather, Outcome, Plan, Policy, Reply
from crocusroad_core.retry_budget import RetryBounds, RetryBudget
from crocusroad_core.sources import FleetMember
from tests.properties import coordinators

SLOW = (20, 0.516)  # Mbit/s, cores
FAST = (200, 2.15)
SECONDS = 30
IN_TIME = 0.06
SILENT = 5.0


def members_of(count, power, mark):
    return [
        FleetMember(
            f'{mark}{number}', 'abc'[number % 3], f'{mark}{number}:1', *power
        )
        for number in range(count)
    ]


@given('{slow:d} slow and {fast:d} fast instances in 3 zones')
def step_fleet(context, slow, fast):
    context.slow = members_of(slow, SLOW, 's')
    context.fast = members_of(fast, FAST, 'f')
    start_choices(context)


@given('{count:d} instances that do not say how fast they are')
def step_unknown(context, count):
    context.slow, context.fast = members_of(count, (100, 0), 'u'), []
    start_choices(context)


def start_choices(context):
    context.all = [*context.slow, *context.fast]
    context.choices = {
        one.name: CoordinatorSelector(one) for one in context.all
    }
    for choice in context.choices.values():
        choice.on_members(context.all)


class Reader:
    """An instance that reads the answers of one fan-out after the other."""

    def __init__(self, member):
        self.member = member
        self.backlog = Backlog()
        self.free_at = 0
        self.waits = []
        self.read = 0

    def take(self, shards, now):
        cost = shards * shard_seconds(self.member)
        self.backlog.add(cost, now)
        self.waits.append(max(0, self.free_at - now))
        self.free_at = max(self.free_at, now) + cost
        self.read += 1
        return self.free_at - now


@when(
    '{rate:d} fan-outs a second over {shards:d} shards come {load:g} times as'
    ' often'
)
def step_load(context, rate, shards, load):
    draw = Random(1)
    readers = {one.name: Reader(one) for one in context.all}
    home = {one.name: Reader(one) for one in context.all}
    context.given, context.kept, context.refused = [], [], 0
    open_given = []
    now = 0.0
    while now < SECONDS:
        now += draw.expovariate(rate * load)
        while open_given and open_given[0][0] <= now:
            _, choice, member = open_given.pop(0)
            choice.on_finished(member, shards)
        own = draw.choice(context.slow)
        context.kept.append(home[own.name].take(shards, now))
        choice = context.choices[own.name]
        member = choice.choose(shards, now)
        if member and not readers[member.name].backlog.has_capacity(now):
            context.refused += 1
            choice.on_refusal(member, now, is_busy=True)
            member = None
        if member is None:
            context.given.append(readers[own.name].take(shards, now))
            continue
        choice.on_delegated(member, shards)
        took = readers[member.name].take(shards, now)
        open_given.append((now + took, choice, member))
        open_given.sort(key=lambda one: one[0])
        context.given.append(took + round_trip_seconds(own, member))
    context.readers = readers


def in_time(took):
    return sum(one <= IN_TIME for one in took) / len(took)


@then('{share:g} of them are read within 60 ms, and none kept at home is')
def step_read(context, share):
    assert in_time(context.given) >= share, in_time(context.given)
    assert in_time(context.kept) == 0, in_time(context.kept)


@then('some are refused, and none waits over {ms:d} ms at a fast instance')
def step_refused(context, ms):
    assert context.refused
    longest = max(
        wait for one in context.fast for wait in context.readers[one.name].waits
    )
    assert longest <= ms / 1000, longest


@then('no fast instance reads over twice as many as another')
def step_spread(context):
    counts = [context.readers[one.name].read for one in context.fast]
    assert max(counts) <= 2 * min(counts), counts


@then('no instance gives a fan-out of {shards:d} shards away')
def step_kept(context, shards):
    given = [one.choose(shards, 0) for one in context.choices.values()]
    assert given == [None] * len(given)


@when('the first choice of a slow instance is silent')
def step_silent(context):
    context.choice = context.choices['s0']
    context.first = context.choice.choose(135, 0)
    context.choice.on_failure(context.first, 0)


@then('another in its zone is chosen, and the first again after 5 seconds')
def step_other(context):
    other = context.choice.choose(135, SILENT - 0.1)
    assert other.name != context.first.name
    assert other.zone == context.first.zone == 'a'
    assert context.choice.choose(135, SILENT).name == context.first.name


@then('when all of them are silent the fan-out stays')
def step_all_silent(context):
    for one in context.fast:
        context.choice.on_failure(one, 10)
    assert context.choice.choose(135, 10.1) is None


@then('the coordinator property "{name}" holds')
def step_holds(context, name):
    getattr(coordinators, name)()


@then('the coordinator property "{name}" fails where nobody leaves any')
def step_caught(context, name):
    good = coordinators.fan_out_weight

    def bad(own, members):
        return max(1, good(own, members))

    coordinators.fan_out_weight = bad
    try:
        getattr(coordinators, name)()
    except AssertionError:
        return
    finally:
        coordinators.fan_out_weight = good
    raise RuntimeError(f'{name} does not catch it')


@given('an instance with {part:g} repeats a window that has just started')
def step_small_part(context, part):
    bounds = RetryBounds(0.2, part * 8 / 0.8, 10)
    context.budget = RetryBudget(bounds, 100)
    context.budget.set_instances(8)


@then('it may repeat nothing for 10 seconds, then once, then not for 10 more')
def step_once(context):
    spend = context.budget.spend
    assert not any(spend('s', 100 + tenth / 10) for tenth in range(100))
    assert spend('s', 110.1)
    assert not any(spend('s', 110.1 + tenth / 10) for tenth in range(100))
    assert spend('s', 120.2)


@given(
    'a fan-out to {shards:d} shards, {least:d} of which are enough, begun'
    ' elsewhere before'
)
def step_repeat(context, shards, least):
    names = [f's{number}' for number in range(shards)]
    replicas = {
        name: (Replica(f'i-{name}', 'h:1', 'a', 2, 9),) for name in names
    }
    context.plan = Plan(
        ShardMap(1, replicas),
        limit=5,
        deadline=1,
        is_repeatable=True,
        merge=lambda parts, limit: [],
        max_replicas=1,
        min_shard_ratio=least / shards,
        is_retry=True,
    )


@given('{count:d} of its shards have a repeat left')
def step_left(context, count):
    context.left = [f's{number}' for number in range(count)]

    def spend(shard, now):
        if shard not in context.left:
            return False
        context.left.remove(shard)
        return True

    policy = Policy(
        pick=lambda shard, candidates, now: candidates[0],
        hedge_delay=lambda shard, now: None,
        spend=spend,
        allow_replacement=lambda has_run, now: False,
    )
    context.gather = Gather(context.plan, policy)
    context.commands = context.gather.begin(0)


@when('each attempt is answered')
def step_answered(context):
    context.asked = list(context.gather.running.values())
    for one in context.asked:
        reply = Reply(one.serial, one.shard, one.version, [])
        context.commands = context.gather.on_reply(reply, 0.1)


@then('it is answered with {answered:d} of {shards:d} shards')
def step_coverage(context, answered, shards):
    finish = context.commands[-1]
    assert finish.outcome is Outcome.answered
    assert finish.coverage['answered'] == answered
    assert finish.coverage['shards'] == shards


@then('each replica was asked once, for a repeat each')
def step_asked(context):
    assert len({one.shard for one in context.asked}) == len(context.asked)
    assert not context.left


@then('it fails at once as one that may have run')
def step_failed(context):
    finish = context.commands[-1]
    assert finish.outcome is Outcome.failed
    assert finish.may_have_run


@given(
    'a fan-out to {shards:d} shards with {count:d} replicas each, of which 1'
    ' may be asked'
)
def step_one_each(context, shards, count):
    replicas = {
        f's{shard}': tuple(
            Replica(f'i-{shard}-{number}', 'h:1', 'a', 2, 9)
            for number in range(count)
        )
        for shard in range(shards)
    }
    plan = Plan(
        ShardMap(1, replicas),
        limit=5,
        deadline=10,
        is_repeatable=True,
        max_replicas=1,
    )
    policy = Policy(
        pick=lambda shard, candidates, now: candidates[0],
        hedge_delay=lambda shard, now: 0.1,
        spend=lambda shard, now: True,
        allow_replacement=lambda has_run, now: False,
    )
    context.gather = Gather(plan, policy)
    context.gather.begin(0)
    context.replicas = replicas


@when('nothing is answered when hedges are due')
def step_hedges_due(context):
    context.gather.on_tick(0.1)


@then('no second replica is asked')
def step_no_second(context):
    assert len(context.gather.running) == len(context.replicas)


@when('{count:d} may be asked and hedges are due again')
def step_allowed(context, count):
    context.gather.set_max_replicas(count, 0.2)
    context.gather.on_tick(0.2)


@then('each shard has been asked at {count:d} replicas')
def step_seconds(context, count):
    asked = {
        (one.shard, one.replica.name) for one in context.gather.running.values()
    }
    assert len(asked) == count * len(context.replicas), asked
