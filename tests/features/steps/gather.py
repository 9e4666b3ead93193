from behave import then

from tests.properties.gather import (
    check_random_sequences,
    finish_after_refused_restart,
)


@then('{examples:d} random event sequences keep every invariant of a query')
def step_random_sequences(context, examples):
    check_random_sequences(examples)


@then('a query that fails after a restart reports that it may have run')
def step_refused_restart(context):
    assert finish_after_refused_restart().may_have_run
