import asyncio
import signal
import time
from types import SimpleNamespace

from behave import given, then, when

from crocusroad_core.coordinators import Backlog
from crocusroad_node.gateway._delegation_handler import (
    Coordination,
    DelegationHandler,
)
from crocusroad_node.gateway._delegation_messages import (
    CONFIRMED_HEADER,
    DELEGATED_HEADER,
    NOT_ACCEPTED_HEADER,
)
from crocusroad_node.gateway._request import CallerRequest
from tests.features.steps.fleet_processes import is_whole, run, start_fleet
from tests.support.fleet import FAST, RELAY, SHARDS, SLOW, exchange

WINDOW = 10.0
GIVEN = ((b'Host', b'h'), (b'X-Request-Id', b'ab'))


@given('a slow and a fast gateway')
def step_fleet(context):
    start_fleet(context, 2, limits={'g0': SLOW, 'g1': FAST})
    wait_for_members(context)
    context.answer = ask(context)
    for name in context.names:
        assert only_request(context, name)
    for name in context.names:
        (context.fleet.folder / f'{name}.log').write_text('')


def wait_for_members(context):
    for name in context.names:
        known = context.fleet.until(
            lambda one=name: knows_all(context, one), 8, name
        )
        run(context, known)


def knows_all(context, name):
    lines = context.fleet.lines(name)
    counts = [one['count'] for one in lines if one['event'] == 'instances']
    return counts[-1:] == [len(context.names)]


def ask(context, path='/all/x', own=None):
    began = time.monotonic()
    answer = run(context, context.fleet.ask('g0', path, own=own))
    context.took = time.monotonic() - began
    return answer


def requests(context, name):
    lines = context.fleet.lines(name)
    return [one for one in lines if one['event'] == 'request']


def only_request(context, name):
    """Return the log line of the one request; lines come a little later."""
    fleet = context.fleet
    run(context, fleet.until(lambda: requests(context, name), 2, name))
    (line,) = requests(context, name)
    return line


@then('g0 has logged that g1 coordinated it, under its id')
def step_logged(context):
    line = only_request(context, 'g0')
    assert (line['outcome'], line['coordinator']) == ('delegated', 'g1'), line
    context.own = line['id']


@then('g1 has logged what it asked of replicas, under the same id')
def step_logged_there(context):
    line = only_request(context, 'g1')
    assert line['id'] == context.own
    assert line['outcome'] == 'answered'
    assert line['sent'] == len(SHARDS)


@then('g1 has logged no request')
def step_logged_nothing(context):
    run(context, asyncio.sleep(0.5))
    assert not requests(context, 'g1')


@given('the repeats of a whole window are saved up')
def step_saved(context):
    run(context, asyncio.sleep(WINDOW))


@when('g1 is {state} while a fan-out is asked')
def step_lost(context, state):
    proc = context.fleet.procs['g1']
    if state == 'killed':
        # Its open connections end with it; no other process listens there.
        proc.send_signal(signal.SIGKILL)
        proc.wait()
    else:
        proc.send_signal(signal.SIGSTOP)
    context.answer = ask(context)


@then('a second one is answered within {seconds:g} seconds')
def step_second(context, seconds):
    answer = ask(context)
    assert is_whole(answer, len(SHARDS)), vars(answer)
    assert context.took < seconds, context.took


@when('g1 is {what} {seconds:g} seconds after a fan-out was asked')
def step_lost_at_work(context, what, seconds):
    number = signal.SIGKILL if what == 'killed' else signal.SIGTERM

    async def main():
        asked = asyncio.create_task(context.fleet.ask('g0', '/all/x'))
        await asyncio.sleep(seconds)
        context.fleet.procs['g1'].send_signal(number)
        context.signalled_at = time.monotonic()
        context.answer = await asked

    began = time.monotonic()
    run(context, main())
    context.took = time.monotonic() - began


@then('no replica was asked after that')
def step_once(context):
    run(context, asyncio.sleep(0.3))
    replicas = context.fleet.replicas.values()
    moments = [moment for one in replicas for moment, _ in one.arrivals]
    assert max(moments) <= context.signalled_at + 0.02


@when('a caller of a fan-out leaves after {seconds:g} seconds')
def step_leaves(context, seconds):
    before = broken_off(context)

    async def main():
        answer = await context.fleet.ask('g0', '/all/x', seconds=seconds)
        context.left_at = time.monotonic()
        assert not answer.status, vars(answer)
        await asyncio.sleep(1)

    run(context, main())
    context.ends = broken_off(context)[len(before) :]


def broken_off(context):
    replicas = context.fleet.replicas.values()
    return sorted(moment for one in replicas for moment in one.broken_off)


@then('no replica works on it {seconds:g} seconds later')
def step_stopped(context, seconds):
    assert len(context.ends) >= len(SHARDS), context.ends
    assert max(context.ends) - context.left_at < seconds


@then('a second one is coordinated by g0')
def step_coordinated_here(context):
    answer = ask(context)
    assert is_whole(answer, len(SHARDS)), vars(answer)
    run(context, asyncio.sleep(0.5))
    assert requests(context, 'g0')[-1]['outcome'] == 'answered'


@given('an instance with configuration {version:d} that is {state}')
def step_desk(context, version, state):
    backlog = Backlog()
    if state == 'busy':
        backlog.add(1, time.monotonic())
    context.begun, context.replies, context.confirmed = [], [], []
    context.desk = DelegationHandler(
        SimpleNamespace(table=SimpleNamespace(version=version)),
        backlog,
        lambda: state != 'stopping',
        lambda req, answer: coordinated(context, req),
        b'x-request-id',
    )


def coordinated(context, req):
    context.begun.append(req)
    return Coordination(lambda: None, lambda: context.confirmed.append(req))


@when('it is given a fan-out of configuration {version:d}')
def step_given(context, version):
    headers = (*GIVEN, (DELEGATED_HEADER, b'%d 1500' % version))
    req = CallerRequest(b'GET', b'/all/x', headers, b'', 100)
    context.stop = context.desk.handle(req, context.replies.append)


@then('it begins it')
def step_begins(context):
    (req,) = context.begun
    assert req.headers == GIVEN
    assert req.received_at == 100 - 0.0015
    assert not context.replies


@then('a confirmation of it is heard, of another or after its end it is not')
def step_confirmed(context):
    def hear(name):
        req = CallerRequest(
            b'POST', b'/', ((CONFIRMED_HEADER, name),), b'', 100
        )
        assert context.desk.handle_notification(req)  # none of them is answered

    hear(b'cd')
    assert not context.confirmed
    hear(b'ab')
    assert len(context.confirmed) == 1
    context.stop()
    hear(b'ab')
    assert len(context.confirmed) == 1


@then('it refuses it')
def step_refuses(context):
    (reply,) = context.replies
    assert reply.status == 503
    assert reply.headers[0][0] == NOT_ACCEPTED_HEADER
    assert not context.begun


@when('{count:d} fan-outs are asked')
def step_several(context, count):
    context.answers = [ask(context) for _ in range(count)]


@then('each of them is whole, and g1 coordinated it')
def step_several_whole(context):
    assert all(is_whole(one, len(SHARDS)) for one in context.answers)
    run(context, asyncio.sleep(0.5))
    names = [one['coordinator'] for one in requests(context, 'g0')]
    assert names == ['g1'] * len(context.answers)


@given('a slow and two fast gateways')
def step_three(context):
    start_fleet(context, 3, limits={'g0': SLOW, 'g1': FAST, 'g2': FAST})
    wait_for_members(context)


@when('the fast one that g0 asks first is told to stop while g0 is asked on')
def step_first_stops(context):
    assert is_whole(ask(context), len(SHARDS))
    context.first = only_request(context, 'g0')['coordinator']

    async def main():
        context.fleet.procs[context.first].send_signal(signal.SIGTERM)
        for _ in range(20):
            answer = await context.fleet.ask('g0', '/all/x')
            context.answers.append(answer)
            await asyncio.sleep(0.05)

    context.answers = []
    run(context, main())


@then('every fan-out is answered whole, by the other fast one in the end')
def step_other(context):
    assert all(is_whole(one, len(SHARDS)) for one in context.answers)
    run(context, asyncio.sleep(0.5))
    names = [one.get('coordinator') for one in requests(context, 'g0')]
    assert set(names) <= {'g1', 'g2'}, names
    assert names[-1] != context.first


@then('a delegated request that says "{first}" or "{second}" is answered 400')
def step_odd(context, first, second):
    home = (context.fleet.host('g1'), RELAY)
    for text in (first, second):
        raw = (
            'GET /all/x HTTP/1.1\r\nHost: pupu.example\r\nX-Request-Id: ab\r\n'
            f'crocusroad-delegated: {text}\r\n\r\n'
        )
        # The first answer says that the request has come.
        answer = run(context, exchange(home, raw.encode(), final=True))
        assert answer.status == 400, vars(answer)
