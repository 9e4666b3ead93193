from behave import then

from tests.properties import retry_windows


@then('the repeats in any window satisfy "{name}"')
def step_property(context, name):
    getattr(retry_windows, name)()
