"""When hedges are sent, under loads that are played in virtual time."""

from random import Random

from behave import given, then, when

from crocusroad_core.retry_budget import RetryBounds, RetryBudget
from crocusroad_core.routing import HedgeTiming

OBJECTIVE = 0.186  # seconds
DUE = 0.166  # seconds after its start that an answer goes out
WORK = 0.03  # seconds that a replica takes
SPREAD = 0.35  # of them, as a share
WAY = 0.02  # seconds on the way and in the instance's hands
PAUSE = 0.2  # seconds
BETWEEN_QUERIES = 1.5  # seconds, at one of 63 instances
INSTANCES = 63


@given('hedges of a route that take {took:d} ms')
def step_timing(context, took):
    context.timing = HedgeTiming()
    for _ in range(64):
        context.timing.record_latency(took / 1000)
    context.before = scarce_delay(context.timing)


def scarce_delay(timing):
    return timing.delay(0.06, DUE, OBJECTIVE, is_budget_scarce=True)


@then(
    'with plenty left one is sent after {usual:d} ms, the usual time of an'
    ' answer'
)
def step_plenty(context, usual):
    delay = context.timing.delay(0.06, DUE, OBJECTIVE, is_budget_scarce=False)
    assert delay == usual / 1000


@then(
    'with little left one is sent as late as {took:d} ms before the answer is'
    ' due'
)
def step_little(context, took):
    left = DUE - scarce_delay(context.timing)
    # A bucket of the histogram is a fifth wide.
    assert took / 1000 <= left < 1.25 * took / 1000, left


@then(
    '{late:d} ms after it was due one is sent after {share:g} of the objective'
)
def step_after_due(context, late, share):
    for is_scarce in (True, False):
        delay = context.timing.delay(
            0.04, -late / 1000, OBJECTIVE, is_budget_scarce=is_scarce
        )
        assert delay == share * OBJECTIVE, delay


@when('half of them are given up after {waited:d} ms')
def step_given_up(context, waited):
    for _ in range(64):
        context.timing.record_latency(waited / 1000)
        context.timing.record_abandoned(waited / 1000)


@then('with little left one is sent earlier than before')
def step_earlier(context):
    assert scarce_delay(context.timing) < context.before


@given(
    '{queries:d} queries to {shards:d} shards whose replicas pause for'
    ' {share:g}% of the time'
)
def step_queries(context, queries, shards, share):
    context.load = (queries, shards, share / 100)


@then('with hedges by their timing at least {share:d}% of the shards are in')
def step_timed(context, share):
    timing = HedgeTiming()

    def delay(is_scarce):
        return timing.delay(0.09, DUE, OBJECTIVE, is_budget_scarce=is_scarce)

    context.timed = play(context.load, delay, timing)
    assert context.timed >= share / 100, context.timed


@then('with hedges at {share:g} of the objective fewer are')
def step_untimed(context, share):
    found = play(context.load, lambda is_scarce: share * OBJECTIVE)
    assert found < context.timed, (found, context.timed)


def play(load, delay, timing=None):
    """Return the share of the shards that are in when answers are due."""
    queries, shards, paused = load
    draw = Random(1)
    budget = RetryBudget(RetryBounds(0.2, 166, 10), 0)
    budget.set_instances(INSTANCES)
    answered = 0

    def took():
        work = max(0.005, draw.gauss(WORK, SPREAD * WORK))
        rest = draw.uniform(0, PAUSE) if draw.random() < paused else 0
        return WAY + work + rest

    for query in range(queries):
        now = query * BETWEEN_QUERIES
        for number in range(shards):
            shard = f's{number}'
            budget.earn(shard, now)
            first = took()
            at = delay(budget.is_scarce(shard, now))
            if first > at and budget.spend(shard, now + at):
                hedge = took()
                in_time = at + hedge <= DUE
                if timing and in_time:
                    timing.record_latency(hedge)
                elif timing and first > DUE:
                    timing.record_abandoned(DUE - at)
                first = min(first, at + hedge)
            answered += first <= DUE
    return answered / (queries * shards)
