import asyncio
import time

from behave import then, when

from tests.features.steps.fleet_processes import is_whole, run
from tests.support.fleet import (
    ROUTES,
    SHARDS,
    route,
)


@when('a route is added')
def step_added(context):
    context.routes = [*ROUTES, route('new', '/new/', Service='single')]
    context.fleet.configure(context.routes)


@then('within {seconds:g} seconds each gateway serves it')
def step_in_force(context, seconds):
    fleet = context.fleet
    alive = [one for one in context.names if fleet.procs[one].poll() is None]

    async def serves():
        answers = [await fleet.ask(one, '/new/1') for one in alive]
        return all(one.status == 200 for one in answers)

    run(context, fleet.wait_until(serves, seconds, 'the new route'))


@when('the store shows an older configuration')
def step_older(context):
    context.fleet.store.set_mode('reset')
    context.fleet.configure(ROUTES, version=context.fleet.version - 1)
    context.fleet.store.set_mode('up')


@then('each gateway still serves it after {seconds:g} seconds')
def step_still(context, seconds):
    run(context, asyncio.sleep(seconds))
    for name in context.names:
        answer = run(context, context.fleet.ask(name, '/new/1'))
        assert answer.status == 200, (name, answer.status)


async def ask_for(fleet, seconds, names):
    end = time.monotonic() + seconds
    answers = []
    while time.monotonic() < end:
        for name in names:
            answers.append(await fleet.ask(name, '/all/1'))
        await asyncio.sleep(0.02)
    return answers


@when('the busiest replica of {service} drains while fan-outs are asked')
def step_drains(context, service):
    run(context, ask_for(context.fleet, 0.5, context.names))
    context.drained_at = time.monotonic()
    replica = max(
        (
            one
            for one in context.fleet.replicas.values()
            if one.service == service
        ),
        key=lambda one: len(one.arrivals),
    )
    context.drained = replica
    context.fleet.register(replica, 'draining')
    context.answers = run(context, ask_for(context.fleet, 4.5, context.names))


@then('it gets none later than {seconds:g} seconds after it said so')
def step_no_more(context, seconds):
    bound = context.drained_at + seconds
    late = [at for at, _ in context.drained.arrivals if at > bound]
    assert context.drained.arrivals
    assert not late, len(late)
    assert all(is_whole(one, len(SHARDS)) for one in context.answers)


@when('the store is "{mode}" and forgets every replica')
def step_forgets(context, mode):
    store = context.fleet.store
    store.set_mode(mode)
    for name in context.fleet.replicas:
        store.remove(f'servers/{name}')


@then('fan-outs are answered for {seconds:g} seconds')
def step_answered_for(context, seconds):
    answers = run(context, ask_for(context.fleet, seconds, context.names))
    assert all(is_whole(one, len(SHARDS)) for one in answers)


@when('the store is back with all but {name}')
def step_back(context, name):
    context.missing = context.fleet.replicas[name]
    context.fleet.store.set_mode('up')
    for replica in context.fleet.replicas.values():
        if replica is not context.missing:
            context.fleet.register(replica)


@then(
    'within {seconds:g} seconds {name} gets nothing and fan-outs are answered'
)
def step_given_up(context, seconds, name):
    run(context, ask_for(context.fleet, seconds, context.names))
    before = len(context.missing.arrivals)
    answers = run(context, ask_for(context.fleet, 1, context.names))
    assert all(is_whole(one, len(SHARDS)) for one in answers)
    assert len(context.missing.arrivals) == before


@when(
    'the address of {name} is taken over by a replica of {service} unannounced'
)
def step_taken_over(context, name, service):
    fleet = context.fleet
    old = fleet.replicas[name]

    async def main():
        old.close()
        await asyncio.sleep(0.1)
        return await fleet.add_replica('i-new', service, endpoint=old.endpoint)

    context.taker = run(context, main())


@then('{count:d} fan-outs are answered and the new replica ran none')
def step_not_misled(context, count):
    async def main():
        return [await context.fleet.ask('g0', '/all/1') for _ in range(count)]

    answers = run(context, main())
    assert all(is_whole(one, len(SHARDS)) for one in answers)
    assert not context.taker.runs


def readers(context):
    """Return the gateways that have asked the store for changes of late."""
    fleet = context.fleet
    return [
        name
        for name in context.names
        if fleet.store_host(name) in fleet.store.watching_hosts
    ]


@when('the store turns a gateway away that does not read it')
def step_turned_away(context):
    context.fleet.store.watching_hosts.clear()
    run(context, asyncio.sleep(3))
    others = [one for one in context.names if one not in readers(context)]
    assert others
    context.fleet.store.refused_hosts.add(context.fleet.store_host(others[0]))


@when('the store turns a gateway away that reads it')
def step_reader_turned_away(context):
    context.fleet.store.watching_hosts.clear()
    run(context, asyncio.sleep(3))
    for name in readers(context):
        context.fleet.store.refused_hosts.add(context.fleet.store_host(name))
    context.fleet.store.refused_hosts.pop()  # the other one goes on reading


@when('{name} is cut off from the store')
def step_cut_off(context, name):
    store = context.fleet.store
    store.refused_hosts.add(context.fleet.store_host(name))
    # The watch that is open would still be answered with the next change.
    store.abort_connections(context.fleet.store_host(name))
    run(context, asyncio.sleep(0.5))


@when('a gateway that reads the store is killed')
def step_reader_killed(context):
    context.fleet.store.watching_hosts.clear()
    run(context, asyncio.sleep(3))
    name = readers(context)[0]
    context.fleet.procs[name].kill()
    context.fleet.procs[name].wait()


@when('the store cuts every connection and then changes 100 times a second')
def step_cut_all(context):
    store = context.fleet.store
    replica = context.fleet.replicas['i-s0-0']

    async def main():
        await asyncio.sleep(3)  # readers and followers are settled
        store.set_mode('reset')
        await asyncio.sleep(0.05)
        store.set_mode('up')
        calls = store.calls
        for number in range(200):
            state = 'draining' if number % 2 else 'ready'
            context.fleet.register(replica, state)
            await asyncio.sleep(0.01)
        return store.calls - calls

    context.calls = run(context, main())


@then('in {seconds:d} seconds it is called at most {count:d} times')
def step_calls(context, seconds, count):
    assert context.calls <= count, context.calls


@when('the store refuses every call for {seconds:d} seconds')
def step_refuse_all(context, seconds):
    store = context.fleet.store

    async def main():
        await asyncio.sleep(3)
        calls = store.calls
        store.set_mode('busy')
        await asyncio.sleep(seconds)
        store.set_mode('up')
        return store.calls - calls

    context.calls = run(context, main())


@then('its readers alone ask it often: at most {count:d} calls')
def step_seldom(context, count):
    assert context.calls <= count, context.calls
