import asyncio

from behave import given, then, when
from returns.result import Success

from crocusroad_core.configs import FrontRegistry
from crocusroad_core.routing import Router
from crocusroad_core.snapshots import VersionSelector
from crocusroad_node.upstreams import poll_health
from tests.features.steps.fault_matrix import front_of
from tests.support.virtual_loop import run_virtual


@when('the replicas said "{news}" and {age:d} s pass over maps "{maps}"')
def step_news(context, news, age, maps):
    pairs = [one.split('=') for one in maps.split()]
    front = front_of({int(one): names.split(',') for one, names in pairs})
    view = VersionSelector()
    for one in news.split() if news != 'none' else []:
        name, held = one.split('=')
        view.record_versions(
            name, [int(version) for version in held.split(',')], 10.0
        )
    context.chosen = view.choose(front, 10.0 + age)
    other = view.choose_alternative(front, context.chosen, 10.0 + age)
    context.other = other and other.version


@then('the version chosen is "{version}" and the other is "{other}"')
def step_chosen(context, version, other):
    assert (str(context.chosen), str(context.other)) == (version, other), (
        context.chosen,
        context.other,
    )


class PolledBook(FrontRegistry):
    def __init__(self, front):
        super().__init__()
        self.front = front

    names = frozenset('f')

    def find(self, name):
        return self.front

    def revision(self, name):
        return 1


class Polled:
    def __init__(self, held):
        self.held = held

    async def health(self, replica, timeout):
        said = {'healthy': True, 'draining': False, 'load': 0.0}
        return Success({**said, 'versions': self.held})


@given('a front with maps "{maps}" whose replicas say "{held}" when polled')
def step_polled(context, maps, held):
    pairs = [one.split('=') for one in maps.split()]
    front = front_of({int(one): names.split(',') for one, names in pairs})
    context.book = PolledBook(front)
    numbers = [] if held == 'none' else [int(one) for one in held.split(',')]
    context.polled = Polled(numbers)
    context.view = VersionSelector()


@given('the view heard of a replica of no front')
def step_stray(context):
    context.view.record_versions('stray', [1], 1000.0)


@when('the poller has run {rounds:d} rounds')
def step_rounds(context, rounds):
    async def main():
        router = Router('a', lambda: 0.5)
        args = (context.book, context.polled, router, context.view)
        task = asyncio.create_task(poll_health(*args))
        await asyncio.sleep(rounds + 0.1)
        task.cancel()

    run_virtual(main())


@then('the view of versions chooses "{version}"')
def step_view_chooses(context, version):
    assert str(context.view.choose(context.book.front, 1002.1)) == version


@then('the view knows only the replicas of the front')
def step_view_knows(context):
    assert context.view.replicas == {'s0-a', 's0-b'}, context.view.replicas
