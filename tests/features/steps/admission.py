import asyncio

from behave import given, then, when
from returns.result import Success

from bench import admission as bench
from crocusroad_core.admission import (
    AdmissionController,
    ConcurrencyLimit,
    LiveInstanceCount,
)
from crocusroad_node.serving._admission import run_admitted
from tests.properties import admission
from tests.support.virtual_loop import run_virtual

MIN_WORTHIEST_SHARE = 0.95
MIN_TOTAL_SHARE = 0.90


@then('every admission history satisfies "{name}"')
def step_property(context, name):
    getattr(admission, name)()


@when('load of twice the capacity meets the limit "{name}"')
def step_overload(context, name):
    context.shares = bench.judge(bench.LIMITS[name])


@when('load of twice the capacity meets the limit "{name}", worth ignored')
def step_overload_uniform_worth(context, name):
    context.shares = bench.judge(bench.LIMITS[name], uniform=True)


@then('the overload targets are {verdict}')
def step_targets(context, verdict):
    worthiest, total, _ = context.shares
    is_met = worthiest >= MIN_WORTHIEST_SHARE and total >= MIN_TOTAL_SHARE
    assert is_met == (verdict == 'met'), context.shares


@given('an admission controller after answers of {took:g} seconds')
def step_controller(context, took):
    context.limit = ConcurrencyLimit()
    context.controller = AdmissionController(context.limit, LiveInstanceCount())
    context.now = 0.0
    for _ in range(100):
        ticket = admit(context, 60.0).unwrap()
        context.now += took
        context.controller.release(ticket, context.now, is_sample=True)


def admit(context, time_left):
    kind = admission.KINDS[0]._replace(max_in_flight=1000)
    caller = bench.CALLER
    return context.controller.admit(
        admission.FRONT,
        caller,
        kind,
        time_left,
        context.now,
    )


@when('a request with {left:g} seconds left arrives {later:g} seconds later')
def step_request(context, left, later):
    context.now += later
    context.outcome = admit(context, left)


@then('the admission outcome is "{outcome}"')
def step_outcome(context, outcome):
    result = context.outcome
    seen = (
        'admitted'
        if isinstance(result, Success)
        else result.failure().kind.value
    )
    assert seen == outcome, seen


@when('the event loop lags {lag:g} seconds for {seconds:d} seconds')
def step_lag(context, lag, seconds):
    for _ in range(seconds):
        context.now += 1
        context.controller.on_lag(lag, context.now)


@then('at most {count:d} requests are admitted at once')
def step_max_admitted(context, count):
    results = [admit(context, 60.0) for _ in range(count + 1)]
    flags = [isinstance(result, Success) for result in results]
    assert flags == [True] * count + [False], flags


@given('a service that admits one request of a kind at once')
def step_service(context):
    context.controller = AdmissionController(
        ConcurrencyLimit(), LiveInstanceCount()
    )
    context.kind = admission.KINDS[0]._replace(max_in_flight=1)


def run_work(context, work):
    applicant = (admission.FRONT, bench.CALLER, context.kind)
    return run_admitted(context.controller, applicant, 60.0, work)


@when('admitted work ends by "{end}"')
def step_end(context, end):
    async def work():
        await asyncio.sleep(1)
        if end == 'exception':
            raise ValueError(end)
        return Success(end)

    async def main():
        task = asyncio.create_task(run_work(context, work))
        await asyncio.sleep(0.5)
        if end == 'hang-up':
            task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() == (end == 'hang-up')
        assert end != 'exception' or task.exception() is not None

    run_virtual(main())


@then('the next request of the kind is admitted')
def step_next(context):
    async def inner():
        context.ran = True
        return Success('inner')

    async def outer():
        context.refused = await run_work(context, inner)
        return Success('outer')

    context.ran = False
    result = run_virtual(run_work(context, outer))
    assert result == Success('outer'), result
    assert context.controller.in_flight == 0


@then('a second one at the same time is refused with "{kind}", not run')
def step_second(context, kind):
    refusal = context.refused.failure()
    assert (refusal.kind.value, refusal.ran) == (kind, 'no')
    assert not context.ran
