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
SIMULATED_SECONDS = 30
OBJECTIVE_SECONDS = 0.06
BACKOFF_SECONDS = 5.0


def members_of(count, speed, prefix):
    return [
        FleetMember(
            f'{prefix}{number}',
            'abc'[number % 3],
            f'{prefix}{number}:1',
            *speed,
        )
        for number in range(count)
    ]


@given('{slow:d} slow and {fast:d} fast instances in 3 zones')
def step_fleet(context, slow, fast):
    context.slow = members_of(slow, SLOW, 's')
    context.fast = members_of(fast, FAST, 'f')
    create_selectors(context)


@given('{count:d} instances of unknown speed')
def step_unknown_speed(context, count):
    context.slow, context.fast = members_of(count, (100, 0), 'u'), []
    create_selectors(context)


def create_selectors(context):
    context.all = [*context.slow, *context.fast]
    context.selectors = {
        member.name: CoordinatorSelector(member) for member in context.all
    }
    for selector in context.selectors.values():
        selector.on_members(context.all)


class Reader:
    """A simulated instance that processes fan-outs one after another."""

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
    '{rate:d} fan-outs a second over {shards:d} shards arrive at {load:g} times'
    ' that rate'
)
def step_load(context, rate, shards, load):
    rng = Random(1)
    readers = {member.name: Reader(member) for member in context.all}
    undelegated_readers = {
        member.name: Reader(member) for member in context.all
    }
    context.latencies, context.undelegated, context.refused = [], [], 0
    in_flight = []
    now = 0.0
    while now < SIMULATED_SECONDS:
        now += rng.expovariate(rate * load)
        while in_flight and in_flight[0][0] <= now:
            _, selector, member = in_flight.pop(0)
            selector.on_finished(member, shards)
        own = rng.choice(context.slow)
        context.undelegated.append(
            undelegated_readers[own.name].take(shards, now)
        )
        selector = context.selectors[own.name]
        member = selector.choose(shards, now)
        if member and not readers[member.name].backlog.has_capacity(now):
            context.refused += 1
            selector.on_refusal(member, now, is_busy=True)
            member = None
        if member is None:
            context.latencies.append(readers[own.name].take(shards, now))
            continue
        selector.on_delegated(member, shards)
        seconds = readers[member.name].take(shards, now)
        in_flight.append((now + seconds, selector, member))
        in_flight.sort(key=lambda entry: entry[0])
        context.latencies.append(seconds + round_trip_seconds(own, member))
    context.readers = readers


def ratio_in_time(latencies):
    return sum(latency <= OBJECTIVE_SECONDS for latency in latencies) / len(
        latencies
    )


@then('a ratio of {ratio:g} is read within 60 ms, and none without delegation')
def step_read_in_time(context, ratio):
    assert ratio_in_time(context.latencies) >= ratio, ratio_in_time(
        context.latencies
    )
    assert ratio_in_time(context.undelegated) == 0, ratio_in_time(
        context.undelegated
    )


@then('some are refused, and none waits over {ms:d} ms at a fast instance')
def step_refused(context, ms):
    assert context.refused
    longest = max(
        wait
        for member in context.fast
        for wait in context.readers[member.name].waits
    )
    assert longest <= ms / 1000, longest


@then('no fast instance reads over twice as many as another')
def step_balanced(context):
    counts = [context.readers[member.name].read for member in context.fast]
    assert max(counts) <= 2 * min(counts), counts


@then('no instance delegates a fan-out of {shards:d} shards')
def step_not_delegated(context, shards):
    chosen = [
        selector.choose(shards, 0) for selector in context.selectors.values()
    ]
    assert chosen == [None] * len(chosen)


@when('the first choice of a slow instance does not respond')
def step_no_response(context):
    context.selector = context.selectors['s0']
    context.first = context.selector.choose(135, 0)
    context.selector.on_failure(context.first, 0)


@then('another in its zone is chosen, and the first again after 5 seconds')
def step_next_choice(context):
    other = context.selector.choose(135, BACKOFF_SECONDS - 0.1)
    assert other.name != context.first.name
    assert other.zone == context.first.zone == 'a'
    assert (
        context.selector.choose(135, BACKOFF_SECONDS).name == context.first.name
    )


@then('the fan-out is not delegated when none of them responds')
def step_none_responds(context):
    for member in context.fast:
        context.selector.on_failure(member, 10)
    assert context.selector.choose(135, 10.1) is None


@then('the coordinator property "{name}" holds')
def step_holds(context, name):
    getattr(coordinators, name)()


@then('the coordinator property "{name}" fails if no instance cedes weight')
def step_detected(context, name):
    original = coordinators.fan_out_weight

    def never_reduced(own, members):
        return max(1, original(own, members))

    coordinators.fan_out_weight = never_reduced
    try:
        getattr(coordinators, name)()
    except AssertionError:
        return
    finally:
        coordinators.fan_out_weight = original
    raise RuntimeError(f'{name} passes with a known-bad weight')


@given('an instance that has just started with {retries:g} retries a window')
def step_small_budget(context, retries):
    bounds = RetryBounds(0.2, retries * 8 / 0.8, 10)
    context.budget = RetryBudget(bounds, 100)
    context.budget.set_instances(8)


@then('it may not retry for 10 seconds, then once, then not for 10 more')
def step_retries_once(context):
    def spend(service, now):
        is_spent = context.budget.spend(service, now)
        if is_spent:
            context.budget.settle(service, now, has_arrived=True)
        return is_spent

    assert not any(spend('s', 100 + tenth / 10) for tenth in range(100))
    assert spend('s', 110.1)
    assert not any(spend('s', 110.1 + tenth / 10) for tenth in range(100))
    assert spend('s', 120.2)


@given(
    'a fan-out to {shards:d} shards, {enough:d} of which are enough, already'
    ' begun elsewhere'
)
def step_begun_elsewhere(context, shards, enough):
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
        min_shard_ratio=enough / shards,
        is_retry=True,
    )


@given('{count:d} of its shards have a retry left')
def step_retries_left(context, count):
    context.retries_left = [f's{number}' for number in range(count)]

    def spend(shard, now):
        if shard not in context.retries_left:
            return False
        context.retries_left.remove(shard)
        return True

    policy = Policy(
        pick=lambda shard, candidates, now: candidates[0],
        hedge_delay=lambda shard, now: None,
        spend=spend,
        allow_replacement=lambda may_have_run, now: False,
    )
    context.gather = Gather(context.plan, policy)
    context.commands = context.gather.begin(0)


@when('each attempt is answered')
def step_answered(context):
    context.attempts = list(context.gather.running.values())
    for attempt in context.attempts:
        reply = Reply(attempt.serial, attempt.shard, attempt.version, [])
        context.commands = context.gather.on_reply(reply, 0.1)


@then('it is answered with {answered:d} of {shards:d} shards')
def step_coverage(context, answered, shards):
    finish = context.commands[-1]
    assert finish.outcome is Outcome.answered
    assert finish.coverage['answered'] == answered
    assert finish.coverage['shards'] == shards


@then('each replica was asked once, for one retry each')
def step_asked(context):
    assert len({attempt.shard for attempt in context.attempts}) == len(
        context.attempts
    )
    assert not context.retries_left


@then('it fails at once as one that may have run')
def step_failed(context):
    finish = context.commands[-1]
    assert finish.outcome is Outcome.failed
    assert finish.may_have_run


@given(
    'a fan-out to {shards:d} shards with {count:d} replicas each, of which 1'
    ' may be asked'
)
def step_one_replica_each(context, shards, count):
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
        allow_replacement=lambda may_have_run, now: False,
    )
    context.gather = Gather(plan, policy)
    context.gather.begin(0)
    context.replicas = replicas


@when('hedges are due and no attempt has been answered')
def step_hedges_due(context):
    context.gather.on_tick(0.1)


@then('no second replica is asked')
def step_no_second_replica(context):
    assert len(context.gather.running) == len(context.replicas)


@when('{count:d} replicas may be asked and hedges are due again')
def step_allowed(context, count):
    context.gather.set_max_replicas(count, 0.2)
    context.gather.on_tick(0.2)


@then('each shard has been asked at {count:d} replicas')
def step_replicas_asked(context, count):
    asked = {
        (attempt.shard, attempt.replica.name)
        for attempt in context.gather.running.values()
    }
    assert len(asked) == count * len(context.replicas), asked
