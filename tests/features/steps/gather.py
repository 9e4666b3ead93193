from behave import then

from tests.properties.gather import (
    check_histories,
    finish_after_refused_restart,
)


@then('{examples:d} histories of a query keep every promise')
def step_histories(context, examples):
    check_histories(examples)


@then('a query refused after it started over says that it may have run')
def step_refused_restart(context):
    assert finish_after_refused_restart().may_have_run
