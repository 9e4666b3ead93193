from uuid import UUID

from behave import then, when

from crocusroad_core.claims import ClaimOutcome, canonical_key, key_state
from tests.properties import claims
from tests.standins.model_kv import CallFate

FREEZE_SECONDS = 60.0
KEY = 0
STEPS = 200


@then('the action state machine finds no fault in {count:d} histories')
def step_machine(context, count):
    claims.run_machine(count, 60)


@then('the action state machine finds the fault "{fault}" in "{variant}"')
def step_variant(context, fault, variant):
    found = claims.find_failure(variant, 400, 60)
    assert found is not None, 'the state machine finds no fault'
    assert found.startswith(('ran 2 times', 'reported not run, but ran')), found


def start(machine, node, body='a'):
    machine.serial += 1
    key = machine.keys[KEY]
    run = claims.ActionRun(machine, machine.serial, key, node, body)
    machine.active.append(run)
    return run


def finish(machine, run, fate=CallFate.ok, pause=0.0):
    for _ in range(STEPS):
        if run.phase == 'over':
            return
        machine.now += pause
        machine.step(run, fate)
    raise AssertionError('the run does not end')


@when('an action\'s {step} meets "{fate}" and its key is repeated elsewhere')
def step_fate(context, step, fate):
    machine = context.machine = claims.ClaimMachine()
    machine.begin()
    context.first = run = start(machine, 1)
    while run.phase != step:
        machine.step(run, CallFate.ok)
    context.second = run_with_fate(machine, run, fate)
    machine.at_most_once()
    machine.not_run_is_true()


def run_with_fate(machine, run, fate):
    if fate == 'race':
        other = start(machine, 2)
        machine.step(run, CallFate.ok)
        finish(machine, other)
        finish(machine, run)
        return other
    if fate == 'kill':
        is_running = run.phase == 'send'
        machine.step(run, CallFate.ok)
        machine.restart(1)
        if is_running:
            run.reported = ''  # the node crashed before it sent the answer
    elif fate == 'freeze':
        if run.phase == 'claim':
            machine.step(run, CallFate.ok)
        machine.now += FREEZE_SECONDS
        finish(machine, run)
    elif fate.endswith('outage'):
        if fate.startswith('lost'):
            machine.step(run, CallFate.lost_after)
        finish(machine, run, CallFate.refused, pause=1.0)
    else:
        machine.step(run, CallFate(fate))
        machine.apply_delayed(0)
        finish(machine, run)
    machine.now += 2 * FREEZE_SECONDS
    second = start(machine, 2)
    finish(machine, second)
    return second


@then('it reports "{first}", the repeat "{repeat}" and it ran {count:d} times')
def step_reports(context, first, repeat, count):
    runs = context.machine.runs.get(context.machine.keys[KEY], 0)
    seen = (context.first.reported or 'nothing', context.second.reported, runs)
    assert seen == (first, repeat, count), seen


@then('the idempotency key "{key}" is "{state}"')
def step_key(context, key, state):
    wall_time = 1_800_000_000.0
    keys = {
        'new': claims.uuid7(1, wall_time),
        'new, in capitals': claims.uuid7(1, wall_time).upper(),
        'a day and a minute old': claims.uuid7(1, wall_time - 86_460),
        'ten minutes ahead': claims.uuid7(1, wall_time + 600),
        'a UUID of version 4': str(UUID(int=1, version=4)),
        'no UUID': 'pay-me-once',
    }
    canonical = canonical_key(keys[key])
    seen = (
        'invalid'
        if canonical is None
        else key_state(canonical, wall_time).value
    )
    assert seen == state, seen
    assert canonical in (None, canonical and canonical.lower())


@when('an action has run and its key is sent with another body')
def step_reuse(context):
    machine = context.machine = claims.ClaimMachine()
    machine.begin()
    finish(machine, start(machine, 1))
    context.second = start(machine, 2, body='b')
    finish(machine, context.second)


@then('the repeat is refused as "{outcome}" and the action ran {count:d} times')
def step_reused(context, outcome, count):
    assert context.second.command.outcome is ClaimOutcome(outcome)
    assert context.machine.runs[context.machine.keys[KEY]] == count
