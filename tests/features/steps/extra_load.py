from behave import then

from tests.properties import extra_load


@then('the load of additional attempts satisfies "{name}"')
def step_property(context, name):
    getattr(extra_load, name)()
