"""Hedge delays, under loads that are simulated in virtual time."""

from random import Random

from behave import given, then, when

from crocusroad_core.retry_budget import RetryBounds, RetryBudget
from crocusroad_core.routing import HedgeTiming

OBJECTIVE_SECONDS = 0.186
DUE_SECONDS = 0.166  # seconds after its start at which a query is answered
WORK_SECONDS = 0.03  # mean, at a replica
WORK_DEVIATION = 0.35  # standard deviation, as a share of the mean
OVERHEAD_SECONDS = 0.02  # on the network and in the instance
PAUSE_SECONDS = 0.2
QUERY_INTERVAL = 1.5  # seconds, at one of 63 instances
INSTANCES = 63


@given('a route whose hedges are answered in {latency:d} ms')
def step_timing(context, latency):
    context.timing = HedgeTiming()
    for _ in range(64):
        context.timing.record_latency(latency / 1000)
    context.first_delay = scarce_delay(context.timing)


def scarce_delay(timing):
    return timing.delay(
        0.06, DUE_SECONDS, OBJECTIVE_SECONDS, is_budget_scarce=True
    )


@then(
    'with a full budget a hedge is sent after {usual:d} ms, the usual latency'
    ' of a first attempt'
)
def step_full_budget(context, usual):
    delay = context.timing.delay(
        0.06, DUE_SECONDS, OBJECTIVE_SECONDS, is_budget_scarce=False
    )
    assert delay == usual / 1000


@then(
    'with a scarce budget a hedge is sent as late as {latency:d} ms before the'
    ' answer is due'
)
def step_scarce_budget(context, latency):
    remaining = DUE_SECONDS - scarce_delay(context.timing)
    # A bucket of the histogram is about a fifth wide.
    assert latency / 1000 <= remaining < 1.25 * latency / 1000, remaining


@then(
    '{late:d} ms after the answer was due a hedge is sent after {share:g} of'
    ' the objective'
)
def step_after_due(context, late, share):
    for is_scarce in (True, False):
        delay = context.timing.delay(
            0.04, -late / 1000, OBJECTIVE_SECONDS, is_budget_scarce=is_scarce
        )
        assert delay == share * OBJECTIVE_SECONDS, delay


@when('half of the hedges are abandoned after {waited:d} ms')
def step_abandoned(context, waited):
    for _ in range(64):
        context.timing.record_latency(waited / 1000)
        context.timing.record_abandoned(waited / 1000)


@then('with a scarce budget a hedge is sent earlier than before')
def step_earlier(context):
    assert scarce_delay(context.timing) < context.first_delay


@given(
    '{queries:d} queries to {shards:d} shards whose replicas pause for'
    ' {share:g}% of the time'
)
def step_queries(context, queries, shards, share):
    context.load = (queries, shards, share / 100)


@then(
    'with adaptive hedge delays at least {share:d}% of the shards answer in'
    ' time'
)
def step_adaptive(context, share):
    timing = HedgeTiming()

    def delay(is_scarce):
        return timing.delay(
            0.09, DUE_SECONDS, OBJECTIVE_SECONDS, is_budget_scarce=is_scarce
        )

    context.adaptive = simulate(context.load, delay, timing)
    assert context.adaptive >= share / 100, context.adaptive


@then('with a fixed hedge delay of {share:g} of the objective fewer do')
def step_fixed(context, share):
    fixed = simulate(context.load, lambda is_scarce: share * OBJECTIVE_SECONDS)
    assert fixed < context.adaptive, (fixed, context.adaptive)


def simulate(load, delay, timing=None):
    """Return the share of the shards that answer before the query is due."""
    queries, shards, paused_share = load
    draw = Random(1)
    budget = RetryBudget(RetryBounds(0.2, 166, 10), 0)
    budget.set_instances(INSTANCES)
    answered = 0

    def draw_latency():
        work = max(
            0.005, draw.gauss(WORK_SECONDS, WORK_DEVIATION * WORK_SECONDS)
        )
        pause = (
            draw.uniform(0, PAUSE_SECONDS)
            if draw.random() < paused_share
            else 0
        )
        return OVERHEAD_SECONDS + work + pause

    for query in range(queries):
        now = query * QUERY_INTERVAL
        for number in range(shards):
            shard = f's{number}'
            budget.earn(shard, now)
            first = draw_latency()
            hedge_at = delay(budget.is_scarce(shard, now))
            if first > hedge_at and budget.spend(shard, now + hedge_at):
                hedge = draw_latency()
                ended_at = now + max(first, hedge_at + hedge)
                budget.settle(shard, ended_at, has_arrived=True)
                in_time = hedge_at + hedge <= DUE_SECONDS
                if timing and in_time:
                    timing.record_latency(hedge)
                elif timing and first > DUE_SECONDS:
                    timing.record_abandoned(DUE_SECONDS - hedge_at)
                first = min(first, hedge_at + hedge)
            answered += first <= DUE_SECONDS
    return answered / (queries * shards)
