import asyncio
import os
import signal
import tempfile
import time

from behave import given, then, when

from tests.standins.fleet_replica import records
from tests.support.fleet import (
    FRONT_PORT,
    SHARDS,
    Fleet,
    exchange,
    read_answer,
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
            await fleet.wait_until(lambda: fleet.is_ready('g0'), 10, 'g0')
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
    context.request_id = 'feedfacefeedface'
    asked = context.fleet.ask(
        'g0', '/pay/1', 'POST', b'sum=1', request_id=context.request_id
    )
    context.answer = run(context, asked)


def runs_of(fleet, own):
    return sum(one.runs[own] for one in fleet.replicas.values())


@then('it is answered {status:d} and ran {runs:d} times')
def step_ran(context, status, runs):
    run(context, asyncio.sleep(0.3))
    assert context.answer.status == status, vars(context.answer)
    assert runs_of(context.fleet, context.request_id) == runs
    bodies = [
        body
        for one in context.fleet.replicas.values()
        for body in one.run_requests
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
    home = (context.fleet.host('g0'), FRONT_PORT)
    context.answer = run(context, exchange(home, FAULTS[fault].encode()))


@then('it is answered {status:d} and nothing ran')
def step_nothing_ran(context, status):
    assert context.answer.status == status, vars(context.answer)
    assert not any(one.runs for one in context.fleet.replicas.values())


@when('{count:d} reads are sent at once on one connection')
def step_ahead(context, count):
    async def main():
        reader, writer = await asyncio.open_connection(
            context.fleet.host('g0'), FRONT_PORT
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
    ends = [moment for one in replicas for moment in one.aborted_at]
    assert runs >= len(SHARDS)
    assert len(ends) == runs, (runs, ends)
    assert max(ends) - context.left_at < seconds


class Callers:
    """Ask on kept connections until the gateway closes them."""

    def __init__(self, fleet, name, count):
        self.home = (fleet.host(name), FRONT_PORT)
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
        await fleet.wait_until(lambda: proc.poll() is not None, 8, 'its end')
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
