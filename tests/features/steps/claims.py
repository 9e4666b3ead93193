from uuid import UUID

from behave import then, when

from crocusroad_core.claims import ClaimOutcome, canonical_key, key_state
from tests.properties import claims
from tests.standins.model_kv import CallFate

FREEZE_SECONDS = 60.0
KEY = 0
STEPS = 200


@then('the action machine finds no fault in {count:d} histories')
def step_machine(context, count):
    claims.run_machine(count, 60)


@then('the action machine finds the fault "{fault}" in "{variant}"')
def step_variant(context, fault, variant):
    found = claims.variant_fault(variant, 400, 60)
    assert found is not None, 'the machine finds nothing'
    assert found.startswith(('ran 2 times', 'denied, but ran')), found


def start(machine, node, body='a'):
    machine.serial += 1
    key = machine.keys[KEY]
    run = claims.Run(machine, machine.serial, key, node, body)
    machine.live.append(run)
    return run


def finish(machine, run, fate=CallFate.ok, pause=0.0):
    for _ in range(STEPS):
        if run.phase == 'over':
            return
        machine.now += pause
        machine.step(run, fate)
    raise AssertionError('does not end')


@when('an action\'s {step} meets "{fate}" and its key is sent again elsewhere')
def step_meets(context, step, fate):
    machine = context.machine = claims.ClaimMachine()
    machine.begin()
    context.first = run = start(machine, 1)
    while run.phase != step:
        machine.step(run, CallFate.ok)
    context.second = meet(machine, run, fate)
    machine.at_most_once()
    machine.no_is_true()


def meet(machine, run, fate):
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
            run.said = ''  # the node died with the answer on its way
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
        machine.land(0)
        finish(machine, run)
    machine.now += 2 * FREEZE_SECONDS
    second = start(machine, 2)
    finish(machine, second)
    return second


@then('it says "{said}", the repeat says "{repeat}" and {count:d} ran')
def step_says(context, said, repeat, count):
    runs = context.machine.runs.get(context.machine.keys[KEY], 0)
    seen = (context.first.said or 'nothing', context.second.said, runs)
    assert seen == (said, repeat, count), seen


@then('the idempotency key "{key}" is "{state}"')
def step_key(context, key, state):
    wall = 1_800_000_000.0
    keys = {
        'new': claims.uuid7(1, wall),
        'new, in capitals': claims.uuid7(1, wall).upper(),
        'a day and a minute old': claims.uuid7(1, wall - 86_460),
        'ten minutes ahead': claims.uuid7(1, wall + 600),
        'a UUID of version 4': str(UUID(int=1, version=4)),
        'no UUID': 'pay-me-once',
    }
    found = canonical_key(keys[key])
    seen = 'invalid' if found is None else key_state(found, wall).value
    assert seen == state, seen
    assert found in (None, found and found.lower())


@when('an action has run and its key comes with another body')
def step_reuse(context):
    machine = context.machine = claims.ClaimMachine()
    machine.begin()
    finish(machine, start(machine, 1))
    context.second = start(machine, 2, body='b')
    finish(machine, context.second)


@then('the repeat is refused as "{outcome}" and {count:d} ran')
def step_reused(context, outcome, count):
    assert context.second.command.outcome is ClaimOutcome(outcome)
    assert context.machine.runs[context.machine.keys[KEY]] == count
