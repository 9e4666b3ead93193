from behave import then, when

from crocusroad_core.snapshots import VersionView
from tests.features.steps.fault_matrix import front_of


@when('the replicas said "{news}" and {age:d} s pass over maps "{maps}"')
def step_news(context, news, age, maps):
    pairs = [one.split('=') for one in maps.split()]
    front = front_of({int(one): names.split(',') for one, names in pairs})
    view = VersionView()
    for one in news.split() if news != 'none' else []:
        name, held = one.split('=')
        view.learn(name, [int(version) for version in held.split(',')], 10.0)
    context.chosen = view.choose(front, 10.0 + age)
    other = view.choose_other(front, context.chosen, 10.0 + age)
    context.other = other and other.version


@then('the version chosen is "{version}" and the other is "{other}"')
def step_chosen(context, version, other):
    assert (str(context.chosen), str(context.other)) == (version, other), (
        context.chosen,
        context.other,
    )
