from behave import given, then

from crocusroad_core.poison import PoisonTracker
from crocusroad_wire import CrashReport
from tests.properties import poison


@then('every poison history keeps "{name}"')
def step_poison_property(context, name):
    getattr(poison, name)()


@then('some poison history breaks "{name}"')
def step_poison_variant(context, name):
    try:
        getattr(poison, name)()
    except AssertionError:
        return
    raise AssertionError(f'{name} was kept')


@given('crashes "{crashes}" of one fingerprint at second 0')
def step_crashes(context, crashes):
    context.tracker = PoisonTracker()
    for word in crashes.split():
        what, _, name = word.partition(':')
        if what == 'ok':
            context.tracker.on_answer('print', 0.0)
        elif what == 'report':
            report = CrashReport('print', [name], [])
            context.tracker.on_report(report, 0.0)
        else:
            is_canary = what == 'a'
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
