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

WORTHIEST_SHARE = 0.95
TOTAL_SHARE = 0.90


@then('every admission history keeps "{name}"')
def step_property(context, name):
    getattr(admission, name)()


@when('load of twice the capacity meets the limit "{name}"')
def step_overload(context, name):
    context.shares = bench.judge(bench.LIMITS[name])


@when('load of twice the capacity meets the limit "{name}" blind to worth')
def step_blind(context, name):
    context.shares = bench.judge(bench.LIMITS[name], uniform=True)


@then('the overload targets are {verdict}')
def step_targets(context, verdict):
    worthiest, total, _ = context.shares
    is_met = worthiest >= WORTHIEST_SHARE and total >= TOTAL_SHARE
    assert is_met == (verdict == 'met'), context.shares


@given('a door that saw answers of {took:g} seconds')
def step_door(context, took):
    context.limit = ConcurrencyLimit()
    context.controller = AdmissionController(context.limit, LiveInstanceCount())
    context.now = 0.0
    for _ in range(100):
        ticket = enter(context, 60.0).unwrap()
        context.now += took
        context.controller.release(ticket, context.now, is_sample=True)


def enter(context, left):
    kind = admission.KINDS[0]._replace(max_in_flight=1000)
    caller = bench.CALLER
    return context.controller.admit(
        admission.FRONT,
        caller,
        kind,
        left,
        context.now,
    )


@when('a request with {left:g} seconds left comes {later:g} seconds later')
def step_request(context, left, later):
    context.now += later
    context.outcome = enter(context, left)


@then('the door says "{outcome}"')
def step_outcome(context, outcome):
    got = context.outcome
    word = 'admitted' if isinstance(got, Success) else got.failure().kind.value
    assert word == outcome, word


@when('the event loop lags {lag:g} seconds for {seconds:d} seconds')
def step_lag(context, lag, seconds):
    for _ in range(seconds):
        context.now += 1
        context.controller.on_lag(lag, context.now)


@then('{count:d} requests in progress are the most')
def step_most(context, count):
    admitted = [enter(context, 60.0) for _ in range(count + 1)]
    flags = [isinstance(one, Success) for one in admitted]
    assert flags == [True] * count + [False], flags


@given('a service that admits one request of a kind at once')
def step_service(context):
    context.controller = AdmissionController(
        ConcurrencyLimit(), LiveInstanceCount()
    )
    context.kind = admission.KINDS[0]._replace(max_in_flight=1)


def admitted(context, work):
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
        task = asyncio.create_task(admitted(context, work))
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
        context.refused = await admitted(context, inner)
        return Success('outer')

    context.ran = False
    got = run_virtual(admitted(context, outer))
    assert got == Success('outer'), got
    assert context.controller.in_flight == 0


@then('while it runs another is refused with "{kind}", not run')
def step_second(context, kind):
    refusal = context.refused.failure()
    assert (refusal.kind.value, refusal.ran) == (kind, 'no')
    assert not context.ran
