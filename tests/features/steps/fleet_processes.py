import asyncio
import json
import os
import signal
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from tests.standins.fleet_replica import records
from tests.support.fleet import (
    FRONT,
    METRICS,
    ROUTES,
    SHARDS,
    Fleet,
    catches_stop,
    exchange,
    read_answer,
    route,
)


def run(context, main):
    return context.runner.run(main)


def start_fleet(context, gateways, mode='up', log=None, limits=None):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    fleet = Fleet(folder.name)
    fleet.limits = limits or {}
    context.fleet = fleet
    context.add_cleanup(lambda: run(context, fleet.close()))
    context.names = [f'g{number}' for number in range(gateways)]

    async def main():
        await fleet.start()
        await fleet.populate()
        fleet.store.set_mode(mode)
        if mode != 'up':
            fleet.spawn('g0')
            await asyncio.sleep(1.2)
        elif log is not None:
            fleet.spawn('g0', log)
            await fleet.until(lambda: fleet.is_ready('g0'), 10, 'g0')
        else:
            await fleet.spawn_ready(*context.names)
        # Every replica and every member is known everywhere.
        await asyncio.sleep(1.3)

    run(context, main())


@given('a fleet with {count:d} gateway')
@given('a fleet with {count:d} gateways')
def step_fleet(context, count):
    start_fleet(context, count)


@given('a fleet whose store is "{mode}" with {count:d} gateway not ready')
def step_unready(context, mode, count):
    start_fleet(context, count, mode)


@given('a fleet with {count:d} gateway whose log nobody reads')
def step_unread(context, count):
    unread, log = os.pipe()
    context.add_cleanup(lambda: (os.close(unread), os.close(log)))
    start_fleet(context, count, log=log)


@given('no replica of {service} listens')
def step_gone(context, service):
    for replica in context.fleet.replicas.values():
        if replica.service == service:
            run(context, close(replica))


async def close(replica):
    replica.close()


@given('no replica of {one} and {other} is registered')
def step_unregistered(context, one, other):
    for replica in context.fleet.replicas.values():
        if replica.service in (one, other):
            context.fleet.store.remove(f'servers/{replica.name}')
    # What lapses is held for a while, in case the store was away.
    run(context, asyncio.sleep(4))


@then('its answer says to come back after {seconds:g} seconds, and nothing ran')
def step_refused_unrun(context, seconds):
    assert context.answer.status == 503, vars(context.answer)
    assert float(context.answer.headers['retry-after']) == seconds
    assert context.took < 0.1, context.took
    replicas = context.fleet.replicas.values()
    assert not any(one.runs for one in replicas)


@given('every replica of {service} is "{mode}"')
def step_modes(context, service, mode):
    for replica in context.fleet.replicas.values():
        if replica.service == service:
            replica.mode = mode


@given('the replica {name} is "{mode}"')
def step_mode(context, name, mode):
    context.fleet.replicas[name].mode = mode


@given('each run takes {seconds:g} second')
def step_slow(context, seconds):
    for replica in context.fleet.replicas.values():
        replica.seconds = seconds


@when('a fan-out is asked')
def step_fan_out(context):
    began = time.monotonic()
    context.answer = run(context, context.fleet.ask('g0', '/all/x'))
    context.took = time.monotonic() - began


def is_whole(answer, shards):
    """Tell whether an answer is what its signatures say."""
    if answer.status != 200:
        return False
    stamps = [one.strip() for one in answer.headers['x-part-stamps'].split(',')]
    services = {one.split('.')[0].split('-')[1] for one in stamps}
    every = sorted(
        (one for service in services for one in records(service, 8)),
        reverse=True,
    )
    return (
        len(stamps) == len(services) == shards
        and answer.body == b''.join(every[:5])
        and int(answer.headers['x-missing-parts']) == len(SHARDS) - shards
    )


@then('its answer is that of {shards:d} shards, with {missing:d} missing')
def step_answer(context, shards, missing):
    assert is_whole(context.answer, shards), vars(context.answer)
    assert shards + missing == len(SHARDS)


@then(
    'its answer is that of {shards:d} shards, with {missing:d} missing,'
    ' within {seconds:g} seconds'
)
def step_answer_soon(context, shards, missing, seconds):
    step_answer(context, shards, missing)
    assert context.took < seconds, context.took


@then('it is answered {status:d} within {seconds:g} seconds')
def step_status(context, status, seconds):
    assert context.answer.status == status, vars(context.answer)
    assert context.took < seconds, context.took


@when('a payment is made')
def step_payment(context):
    context.own = 'feedfacefeedface'
    asked = context.fleet.ask('g0', '/pay/1', 'POST', b'sum=1', own=context.own)
    context.answer = run(context, asked)


def runs_of(fleet, own):
    return sum(one.runs[own] for one in fleet.replicas.values())


@then('it is answered {status:d} and ran {runs:d} times')
def step_ran(context, status, runs):
    run(context, asyncio.sleep(0.3))
    assert context.answer.status == status, vars(context.answer)
    assert runs_of(context.fleet, context.own) == runs
    bodies = [
        body for one in context.fleet.replicas.values() for body in one.bodies
    ]
    assert bodies == [('POST', '/pay/1', b'sum=1')] * runs
    signed = context.answer.headers.get('x-response-stamp', '')
    assert bool(signed) == (status in (200, 500))


@then('its answer says to come back within {seconds:g} second')
def step_retry_after(context, seconds):
    assert context.answer.status == 503
    assert 0 < float(context.answer.headers['retry-after']) <= seconds


@when('{count:d} reads are made')
def step_reads(context, count):
    async def main():
        return [
            await context.fleet.ask('g0', f'/one/{number}')
            for number in range(count)
        ]

    context.answers = run(context, main())


@then('each is answered {status:d}')
def step_each(context, status):
    got = [one.status for one in context.answers]
    assert set(got) == {status}, got


HEAD = 'GET /one/1 HTTP/1.1\r\nX-Request-Id: 00000000deadbeef\r\n'
HOST = 'Host: pupu.example\r\n'
FAULTS = {
    'both framings': f'{HEAD}{HOST}Content-Length: 4\r\n'
    'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'two lengths': f'{HEAD}{HOST}Content-Length: 1\r\n'
    'Content-Length: 2\r\n\r\nab',
    'no host': f'{HEAD}\r\n',
    'no id': f'GET /one/1 HTTP/1.1\r\n{HOST}\r\n',
    'headers that are too large': f'{HEAD}{HOST}A: {"a" * 5000}\r\n\r\n',
    'a body that is too large': f'{HEAD}{HOST}Content-Length: 5000\r\n\r\n'
    + 'b' * 5000,
    'headers that never end': HEAD,
    'an unknown path': f'GET /none/1 HTTP/1.1\r\n{HOST}'
    'X-Request-Id: 00000000deadbeef\r\n\r\n',
}


@when('a request with {fault} is sent')
def step_fault(context, fault):
    home = (context.fleet.host('g0'), FRONT)
    context.answer = run(context, exchange(home, FAULTS[fault].encode()))


@then('it is answered {status:d} and nothing ran')
def step_nothing_ran(context, status):
    assert context.answer.status == status, vars(context.answer)
    assert not any(one.runs for one in context.fleet.replicas.values())


@when('{count:d} reads are sent at once on one connection')
def step_ahead(context, count):
    async def main():
        reader, writer = await asyncio.open_connection(
            context.fleet.host('g0'), FRONT
        )
        for number in range(count):
            head = f'GET /one/1 HTTP/1.1\r\n{HOST}X-Request-Id: {number:016x}'
            writer.write(f'{head}\r\n\r\n'.encode())
        answers = [await read_answer(reader) for _ in range(count)]
        writer.close()
        return answers

    context.answers = run(context, main())


@then('they are answered in order')
def step_in_order(context):
    got = [
        int(one.headers['x-response-stamp'].split('.')[1], 16)
        for one in context.answers
    ]
    assert got == list(range(len(got))), got


@when('a caller leaves after {seconds:g} seconds')
def step_leaves(context, seconds):
    async def main():
        asked = context.fleet.ask('g0', '/all/x', seconds=seconds)
        context.answer = await asked
        context.left_at = time.monotonic()
        await asyncio.sleep(1.2)

    try:
        run(context, main())
    except TimeoutError:
        context.left_at = time.monotonic()
        run(context, asyncio.sleep(1.2))


@then('every run of it has lost its caller within {seconds:g} seconds')
def step_lost_caller(context, seconds):
    replicas = context.fleet.replicas.values()
    runs = sum(sum(one.runs.values()) for one in replicas)
    ends = [moment for one in replicas for moment in one.broken_off]
    assert runs >= len(SHARDS)
    assert len(ends) == runs, (runs, ends)
    assert max(ends) - context.left_at < seconds


class Callers:
    """Ask on kept connections until the gateway closes them."""

    def __init__(self, fleet, name, count):
        self.home = (fleet.host(name), FRONT)
        self.cut = 0
        self.served = 0
        self.tasks = [asyncio.create_task(self.ask()) for _ in range(count)]
        self.serial = 0

    async def ask(self):
        reader, writer = await asyncio.open_connection(*self.home)
        while True:
            self.serial += 1
            path = ('/one/1', '/all/1')[self.serial % 2]
            head = f'GET {path} HTTP/1.1\r\n{HOST}X-Request-Id: '
            try:
                writer.write(f'{head}{self.serial:016x}\r\n\r\n'.encode())
                answer = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                self.cut += 1
                return
            self.served += answer.status == 200
            if answer.headers.get('connection') == 'close':
                writer.close()
                return
            await asyncio.sleep(0.02)


@when('callers ask on kept connections while {name} is told to stop')
def step_stop(context, name):
    fleet = context.fleet

    async def main():
        callers = Callers(fleet, name, 8)
        await asyncio.sleep(0.5)
        proc = fleet.procs[name]
        proc.send_signal(signal.SIGTERM)
        began = time.monotonic()
        await asyncio.sleep(0.1)
        context.was_ready = await fleet.is_ready(name)
        context.late = await fleet.ask(name, '/one/1')
        await fleet.until(lambda: proc.poll() is not None, 8, 'its end')
        context.took = time.monotonic() - began
        context.code = proc.returncode
        await asyncio.wait(callers.tasks, timeout=1)
        context.callers = callers

    run(context, main())


@then(
    'it is not ready at once, and has ended with {code:d} within'
    ' {seconds:g} seconds'
)
def step_stopped(context, code, seconds):
    assert not context.was_ready
    assert context.code == code
    assert context.took < seconds, context.took


@then('no request was cut')
def step_uncut(context):
    assert context.late.status == 200  # new connections of a late balancer
    assert context.callers.served > 50, context.callers.served
    assert not context.callers.cut, context.callers.cut


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

    run(context, fleet.until(serves, seconds, 'the new route'))


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
        return await fleet.add_replica('i-new', service, home=old.home)

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
        if fleet.store_host(name) in fleet.store.watchers
    ]


@when('the store turns a gateway away that does not read it')
def step_turned_away(context):
    context.fleet.store.watchers.clear()
    run(context, asyncio.sleep(3))
    others = [one for one in context.names if one not in readers(context)]
    assert others
    context.fleet.store.refused.add(context.fleet.store_host(others[0]))


@when('the store turns a gateway away that reads it')
def step_reader_turned_away(context):
    context.fleet.store.watchers.clear()
    run(context, asyncio.sleep(3))
    for name in readers(context):
        context.fleet.store.refused.add(context.fleet.store_host(name))
    context.fleet.store.refused.pop()  # the other one goes on reading


@when('{name} is cut off from the store')
def step_cut_off(context, name):
    store = context.fleet.store
    store.refused.add(context.fleet.store_host(name))
    # The watch that is open would still be answered with the next change.
    store.cut(context.fleet.store_host(name))
    run(context, asyncio.sleep(0.5))


@when('a gateway that reads the store is killed')
def step_reader_killed(context):
    context.fleet.store.watchers.clear()
    run(context, asyncio.sleep(3))
    name = readers(context)[0]
    context.fleet.procs[name].kill()
    context.fleet.procs[name].wait()


@then('the log names its replica and the reason "{reason}"')
def step_log(context, reason):
    run(context, asyncio.sleep(0.2))  # the line follows the answer
    lines = context.fleet.lines('g0')
    found = [one for one in lines if one.get('id') == context.own]
    assert len(found) == 1, found
    line = found[0]
    assert line['status'] == context.answer.status
    assert line['version'] == context.fleet.version
    attempt = line['attempts'][0]
    assert attempt['replica'].startswith('i-single-'), attempt
    assert attempt['outcome'] == reason
    assert {'start', 'configuration adopted'} <= {one['event'] for one in lines}


@then('the metrics page counts it')
def step_metrics(context):
    home = (context.fleet.host('g0'), METRICS)
    asked = context.fleet.ask('g0', '/metrics', home=home)
    text = run(context, asked).body.decode()
    assert 'crocusroad_attempts_lost_total{reason="broken"} 1.0' in text
    assert 'crocusroad_request_seconds_bucket{kind="one-replica"' in text


def tell_settings(context, text):
    file = context.fleet.folder / 'g0.yaml'
    file.write_text(text)
    context.fleet.procs['g0'].send_signal(signal.SIGHUP)
    run(context, asyncio.sleep(0.5))


@when('its settings are broken and it is told so')
def step_broken(context):
    tell_settings(context, 'Ip: [')


@when('its settings are mended with another grace and it is told so')
def step_mended(context):
    cfg = context.fleet.settings('g0')
    cfg['Bounds']['GraceS'] = 9
    tell_settings(context, json.dumps(cfg))


@then('its log says "{event}"')
def step_says(context, event):
    events = [one['event'] for one in context.fleet.lines('g0')]
    assert event in events, events


@then('the gateway still serves')
def step_serves(context):
    assert run(context, context.fleet.ask('g0', '/one/1')).status == 200


@when('another gateway is told to stop as soon as it catches the signal')
def step_stop_at_start(context):
    fleet = context.fleet
    fleet.spawn('g9')
    proc = fleet.procs['g9']
    run(context, fleet.until(lambda: catches_stop(proc.pid), 10, 'a handler'))
    loaded = Path(f'/proc/{proc.pid}/maps').read_text()
    proc.terminate()
    assert 'uvloop' not in loaded, 'caught only when the start is over'


@then('that gateway ends with {code:d} within {seconds:d} seconds')
def step_ended(context, code, seconds):
    proc = context.fleet.procs['g9']
    assert proc.wait(seconds) == code, proc.returncode


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
