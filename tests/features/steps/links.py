import asyncio
import time
from contextlib import suppress

from aiosonic import HTTPClient, TCPConnector
from aiosonic.exceptions import ReadTimeout
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from behave import given, then, when
from returns.result import Success

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_core.links import RecentInstances
from crocusroad_node.counters import CONNECTION_EVENTS, LATE_ANSWERS
from crocusroad_node.stall_aware_timeout import stall_aware_timeout
from crocusroad_node.upstreams import UpstreamClient
from crocusroad_node.upstreams._connection import ReplicaConnection
from tests.support.scripted_server import ScriptedServer


def run(context, main):
    return context.runner.run(main)


async def start(context):
    context.server = ScriptedServer()
    await context.server.__aenter__()
    context.view = RecentInstances('node-0')
    context.view.on_list(['node-0'], 0.0)
    context.client = UpstreamClient('node-0', 'a', context.view)
    context.replica = Replica('r', context.server.address, 'a', 2, 25)
    context.serial = 0
    context.late = LATE_ANSWERS._value.get()


async def stop(context):
    await context.client.close()
    await context.server.__aexit__()
    await asyncio.sleep(0)


@given('a replica on a loopback address')
def step_replica(context):
    context.runner = asyncio.Runner()
    run(context, start(context))

    def clean_up():
        run(context, stop(context))
        context.runner.close()

    context.add_cleanup(clean_up)


@given('its answers are "{fault}"')
def step_fault(context, fault):
    context.server.fault = fault


@given('it answers after {seconds:g} seconds and ignores cancels')
def step_deaf(context, seconds):
    context.server.fault = 'ignores-cancel'
    context.server.seconds = seconds


@given('it answers after {seconds:g} seconds')
@when('it answers after {seconds:g} seconds')
def step_slow(context, seconds):
    context.server.seconds = seconds


@given('it is "{state}"')
def step_state(context, state):
    async def change():
        if state == 'full':
            context.server.limit = 0
        elif state == 'not listening':
            context.server.server.close()
            await context.server.server.wait_closed()
        else:
            context.server.server.close()
            context.server.server = await asyncio.start_server(
                lambda reader, writer: None, '127.0.0.1', 0
            )
            port = context.server.server.sockets[0].getsockname()[1]
            context.replica = context.replica._replace(
                address=f'127.0.0.1:{port}'
            )

    run(context, change())


@given('{count:d} instances are listed')
def step_listed(context, count):
    context.view.on_list([f'node-{number}' for number in range(count)], 0.0)


def plain_client():
    config = PoolConfig(size=1)
    return HTTPClient(TCPConnector({':default': config}))


@when('the plain library gives up on "{slow}" and then asks for "{fast}"')
def step_plain(context, slow, fast):
    async def main():
        client = plain_client()
        base = f'http://{context.server.address}'
        await (await client.get(f'{base}/first')).content()
        with suppress(ReadTimeout):
            await client.get(
                f'{base}{slow}?wait=0.1',
                timeouts=Timeouts(sock_read=0.05, request_timeout=1),
            )
        await asyncio.sleep(0.1)
        response = await client.get(f'{base}{fast}')
        return (await response.content()).decode()

    context.given_answer = run(context, main())


@then('the plain library was given the answer of "{path}"')
def step_plain_answer(context, path):
    assert context.given_answer == path, context.given_answer


@when('a link gives up on "{slow}" and then asks for "{fast}"')
def step_link(context, slow, fast):
    async def main():
        conn = ReplicaConnection(context.replica, 'test', 0.0)
        await conn.get('/first')
        with suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await conn.get(f'{slow}?wait=0.1')
        context.was_open = conn.is_open
        await asyncio.sleep(0.1)
        conn = ReplicaConnection(context.replica, 'test', 0.0)
        response = await conn.get(fast)
        return (await response.content()).decode()

    context.given_answer = run(context, main())


@then('the link was given the answer of "{path}" alone')
def step_link_answer(context, path):
    assert not context.was_open
    assert context.given_answer == path, context.given_answer


async def ask(context, timeout=2.0):
    context.serial += 1
    message = {
        'request_id': f'q.{context.serial}',
        'shard': 's',
        'version': 1,
        'kind': 'k',
        'query': {},
        'limit': 1,
        'deadline_ms': 1000,
        'expires_at': time.time() + 1,
    }
    outcome = await context.client.query(context.replica, message, timeout)
    if isinstance(outcome, Success):
        assert outcome.unwrap()['request_id'] == message['request_id']
        return 'answered'
    return outcome.failure()


@when('a sub-request is sent to it')
def step_ask(context):
    context.outcome = run(context, ask(context))


@when('a sub-request is given up after {seconds:g} seconds')
def step_give_up(context, seconds):
    async def main():
        # Else the time may pass while the connection is opened.
        await ask_first(context)
        context.outcome = await ask(context, seconds)
        await asyncio.sleep(0.3)

    run(context, main())


@when(
    '{count:d} sub-requests are given up one by one after {seconds:g} seconds'
)
def step_give_up_many(context, count, seconds):
    async def main():
        context.retired = CONNECTION_EVENTS.labels('retired')._value.get()
        for _ in range(count):
            assert await ask(context, seconds) is FailureReason.silent
            await asyncio.sleep(0.5)

    run(context, main())


@then('no connection was retired')
def step_none_retired(context):
    assert CONNECTION_EVENTS.labels('retired')._value.get() == context.retired


@when('a sub-request is cancelled after {seconds:g} seconds')
def step_cancel(context, seconds):
    async def main():
        await ask_first(context)
        task = asyncio.ensure_future(ask(context))
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.sleep(0.2)

    run(context, main())


async def ask_first(context):
    slow, context.server.seconds = context.server.seconds, 0.0
    assert await ask(context) == 'answered'
    await asyncio.sleep(0.05)
    context.server.seconds = slow


@then('the replica was asked to cancel it')
def step_cancelled(context):
    assert context.server.seen['/cancel'] == 1
    context.server.seconds = 0.0


@then('no connection to the replica was closed')
def step_kept(context):
    assert len(context.server.open) == context.server.seen['connections']


@then('the sub-request ended "{outcome}", which may have run: {ran}')
def step_outcome(context, outcome, ran):
    assert context.outcome == outcome, context.outcome
    if outcome != 'answered':
        assert context.outcome.may_have_run == (ran == 'yes')


@then('{count:d} further sub-requests get their own answers')
def step_further(context, count):
    async def main():
        context.server.fault = 'none'
        context.server.seconds = 0.0
        return [await ask(context) for _ in range(count)]

    assert run(context, main()) == ['answered'] * count


@then('one more late answer is counted')
def step_late(context):
    assert LATE_ANSWERS._value.get() == context.late + 1


@then('no sub-request reached the replica')
def step_unreached(context):
    assert context.server.seen['/query'] == 0


@when('{count:d} sub-requests are sent to it at once')
def step_many(context, count):
    async def main():
        asks = (ask(context) for _ in range(count))
        context.outcomes = await asyncio.gather(*asks)

    run(context, main())


@then('all {count:d} were answered over at most {part:d} connections')
def step_part(context, count, part):
    assert context.outcomes == ['answered'] * count, context.outcomes
    assert context.server.most_open <= part, context.server.most_open


@when('all open connections go silent')
def step_silence(context):
    assert context.server.open
    context.server.silence_open()
    context.opened = context.server.seen['connections']
    context.silenced_at = time.monotonic()


@when('health is read {count:d} times, as the poller does')
def step_poll(context, count):
    async def main():
        for _ in range(count):
            await context.client.health(context.replica, 0.25)

    run(context, main())


@then(
    'within {seconds:d} seconds {count:d} further sub-requests get their own '
    'answers'
)
def step_within(context, seconds, count):
    step_further(context, count)
    assert time.monotonic() - context.silenced_at < seconds


@then('at most {count:d} connections were opened since')
def step_storm(context, count):
    opened = context.server.seen['connections'] - context.opened
    assert 1 <= opened <= count, opened


@then(
    '{count:d} sub-requests sent at once get their own answers in {bound:g} '
    'seconds'
)
def step_all_in_time(context, count, bound):
    async def main():
        asks = (ask(context, bound) for _ in range(count))
        return await asyncio.gather(*asks)

    outcomes = run(context, main())
    assert outcomes == ['answered'] * count, outcomes


@given('something that answers after {seconds:g} seconds')
def step_something(context, seconds):
    context.after = seconds


@when(
    'it is awaited for {seconds:g} seconds by a process that is held up for'
    ' {held:g}'
)
def step_awaited(context, seconds, held):
    async def main():
        began = time.monotonic()
        asyncio.get_running_loop().call_later(0.01, time.sleep, held)
        try:
            async with stall_aware_timeout(seconds):
                await asyncio.sleep(context.after)
        except TimeoutError:
            context.ends = 'times out'
        else:
            context.ends = 'answers'
        context.took = time.monotonic() - began

    asyncio.run(main())


@then('it answers')
def step_answers(context):
    assert context.ends == 'answers'


@then('it times out')
def step_times_out(context):
    assert context.ends == 'times out'
    assert context.took < 1.5, context.took
