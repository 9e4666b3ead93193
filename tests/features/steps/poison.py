from behave import given, then

from crocusroad_core.poison import PoisonTracker
from crocusroad_wire import CrashReport
from tests.properties import poison


@then('every poison history satisfies "{name}"')
def step_poison_property(context, name):
    getattr(poison, name)()


@then('some poison history violates "{name}"')
def step_known_bad_variant(context, name):
    try:
        getattr(poison, name)()
    except AssertionError:
        return
    raise AssertionError(f'no history violates {name}')


@given('crashes "{crashes}" of one fingerprint at second 0')
def step_crashes(context, crashes):
    context.tracker = PoisonTracker()
    for event in crashes.split():
        kind, _, name = event.partition(':')
        if kind == 'ok':
            context.tracker.on_answer('print', 0.0)
        elif kind == 'report':
            report = CrashReport('print', [name], [])
            context.tracker.on_report(report, 0.0)
        else:
            is_canary = kind == 'a'
            context.tracker.on_crash('print', name, 0.0, is_canary=is_canary)


@then('at second {second:g} the fingerprint is "{state}"')
def step_state(context, second, state):
    tracker = context.tracker
    if tracker.check('print', second):
        seen = 'quarantined'
    elif tracker.is_suspect('print', second):
        seen = 'suspect'
    else:
        is_new = tracker.needs_canary('print', second)
        seen = 'new' if is_new else 'cleared'
    assert seen == state, seen
