from behave import then

from tests.properties import extra_load


@then('the load beyond first attempts keeps "{promise}"')
def step_promise(context, promise):
    getattr(extra_load, promise)()
