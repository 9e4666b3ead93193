from random import Random

from behave import given, then, when

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.routing import (
    ExtraLoadBudget,
    HealthReport,
    LatencyHistogram,
    Router,
)
from tests.properties import routing

LATENCY_SECONDS = 0.01  # mean of a healthy replica
SLOWDOWN = {'slow': 20.0, 'reporting-idle': 20.0}  # times LATENCY_SECONDS
REFUSAL_REASON = {
    'refusing': FailureReason.connect_refused,
    'full': FailureReason.no_connection,
}
REPORTED_LOAD = {'reporting-idle': 0.0, 'reporting-busy': 8.0}


class UnlimitedBudget(ExtraLoadBudget):
    def spend(self, now):
        return True


class IgnoresDrainSignals(Router):
    def on_draining(self, replica, now):
        return None


def quota_without_overcommit(instance, instances, replica):
    return max(1, replica.connections // len(instances))


VARIANTS = {
    'unlimited-budget': {'make_budget': UnlimitedBudget},
    'ignores-drain-signals': {'make_router': IgnoresDrainSignals},
    'without-overcommit': {'quota': quota_without_overcommit},
}


@then('the routing property "{name}" holds')
def step_property(context, name):
    getattr(routing, name)()


@then('the routing property "{name}" fails for the variant "{variant}"')
def step_variant_fails(context, name, variant):
    try:
        getattr(routing, name)(**VARIANTS[variant])
    except AssertionError:
        return
    raise RuntimeError(f'{name} holds for the faulty variant {variant}')


@given(
    '{count:d} replicas routed with seed {seed:d}, of which one is "{fault}"'
)
def step_replicas(context, count, seed, fault):
    context.replicas = tuple(
        Replica(f'r{number}', f'127.0.0.1:{number}', 'a', 2, 25)
        for number in range(count)
    )
    context.fault = fault
    context.rng = Random(seed)
    context.router = Router('a', context.rng.random)
    context.now = 100.0
    known = context.replicas[1:] if fault == 'new' else context.replicas
    context.router.on_front('front', known, 0.0)
    context.router.on_front('front', context.replicas, context.now)
    context.sent = dict.fromkeys(context.replicas, 0)


@when('{count:d} of them are reported unhealthy')
def step_unhealthy(context, count):
    for replica in context.replicas[:count]:
        report = HealthReport(False, False, 0.0)
        context.router.on_health(replica, report, context.now)


@when('{count:d} sub-requests are routed at {rate:d} a second')
def step_route(context, count, rate):
    faulty = context.replicas[0]
    in_flight = []
    for number in range(count):
        context.now += 1 / rate
        while in_flight and in_flight[0][0] <= context.now:
            finish(context, *in_flight.pop(0))
        if number % (rate // 4) == 0:
            report_health(context, faulty)
        chosen = context.router.pick('s', context.replicas, context.now)
        context.sent[chosen] += 1
        context.router.on_sent(chosen, context.now)
        slowdown = SLOWDOWN.get(context.fault, 1.0) if chosen is faulty else 1.0
        latency = slowdown * LATENCY_SECONDS * context.rng.uniform(0.8, 1.2)
        in_flight.append((context.now + latency, chosen, latency))
        in_flight.sort()


def report_health(context, faulty):
    if context.fault in ('healthy', 'new'):
        return
    report = HealthReport(
        context.fault != 'reporting-unhealthy',
        context.fault == 'draining',
        REPORTED_LOAD.get(context.fault, 0.5),
    )
    context.router.on_health(faulty, report, context.now)


def finish(context, ended_at, replica, latency):
    if replica is not context.replicas[0]:
        context.router.on_reply(replica, latency, 0.5, ended_at)
    elif context.fault in REFUSAL_REASON:
        reason = REFUSAL_REASON[context.fault]
        context.router.on_failure(replica, reason, latency, ended_at)
    else:
        load = REPORTED_LOAD.get(context.fault, 0.5)
        context.router.on_reply(replica, latency, load, ended_at)


@then(
    'the faulty replica was sent at most {most:d} and at least {least:d} '
    'percent'
)
def step_share(context, most, least):
    share = 100 * context.sent[context.replicas[0]] / sum(context.sent.values())
    assert least <= share <= most, share


@then('each replica was sent at least {least:d} percent')
def step_each(context, least):
    total = sum(context.sent.values())
    assert min(context.sent.values()) >= total * least / 100, context.sent


@when(
    'a shard answers in {ms:d} ms, and 1 in 50 answers takes 20 times as long'
)
def step_latencies(context, ms):
    context.histogram = LatencyHistogram()
    rng = Random(3)
    for number in range(5000):
        slowdown = 20 if number % 50 == 0 else 1
        context.histogram.record(slowdown * ms / 1000 * rng.uniform(0.8, 1.2))


@then('its hedge delay is between {low:d} and {high:d} ms')
def step_delay(context, low, high):
    delay = 1000 * context.histogram.hedge_delay
    assert low <= delay <= high, delay


@then('a budget of 5 percent allows 10 extra attempts before any first one')
def step_burst(context):
    context.budget = ExtraLoadBudget(0.05)
    assert [context.budget.spend(0) for _ in range(11)] == [True] * 10 + [False]


@then('after 20 first attempts it allows one more, but not a second')
def step_earned(context):
    for _ in range(21):
        context.budget.on_first(0)
    assert context.budget.spend(0)
    assert not context.budget.spend(0)
