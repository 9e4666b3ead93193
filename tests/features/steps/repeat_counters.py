"""Steps that compare the counters of repeats with what replicas saw."""

import asyncio
from collections import Counter

from behave import then, when

from tests.features.steps.fleet_processes import run
from tests.support.gateway_metrics import read_metrics, total


@when('g0 gets {count:d} reads, {width:d} at once')
def step_reads(context, count, width):
    async def main():
        for _ in range(count // width):
            await asyncio.gather(
                *(context.fleet.ask('g0', '/one/1') for _ in range(width))
            )

    run(context, main())


@then('the counters of repeats to single are as many as the replicas saw')
def step_repeats(context):
    arrivals = Counter(
        request_id
        for replica in context.fleet.replicas.values()
        for _, request_id in replica.arrivals
    )
    beyond_first = sum(arrivals.values()) - len(arrivals)
    context.samples = run(context, read_metrics(context.fleet.host('g0')))
    counted = total(
        context.samples, 'crocusroad_repeats_total', service='single'
    )
    assert counted == beyond_first > 0, (counted, beyond_first)


@then('there are {role} repeats among them that are "{charge}"')
def step_roles(context, role, charge):
    assert total(
        context.samples,
        'crocusroad_repeats_total',
        service='single',
        role=role,
        charge=charge,
    )


@then('the tokens left are told, and what the budget refused')
def step_tokens(context):
    tokens = total(context.samples, 'crocusroad_retry_tokens', service='single')
    assert 0 <= tokens < 5, tokens
    for decision in ('granted', 'refused'):
        assert total(
            context.samples,
            'crocusroad_repeat_decisions_total',
            service='single',
            decision=decision,
        ), decision
