import json
import signal
import socket
import statistics
import sys
import tempfile
import time

from behave import given, then

from tests.support.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)
from tests.support.free_ports import find_free_base_port
from tests.support.search_load import HALVES, SHARDS, SearchLoad

FRONT = 'desk'
SEARCH = f'/fronts/{FRONT}/search'
MARGIN_SECONDS = 0.05  # of a latency, for the noise of the machine


@given('a small cluster under a steady load of searches')
def step_search_cluster(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    cluster = context.cluster = Cluster(folder.name, find_free_base_port())
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    context.direct, context.addresses = {}, {}
    for place, (shard, copy) in enumerate((s, n) for s in SHARDS for n in '01'):
        start_replica(context, f'{shard}-r{copy}', 30 + place, shard=shard)
    for place, half in enumerate(HALVES):
        start_replica(
            context,
            f'{half}-r0',
            40 + place,
            shard='s0',
            halves=HALVES,
            half=half,
            versions=[2],
        )
    relay = f'127.0.0.1:{cluster.base_port + 50}'
    module = 'tests.standins.relay'
    target = context.addresses['s0-r1']
    cluster.spawn('relay', [sys.executable, '-m', module, relay, target])
    context.addresses['s0-r1'] = relay
    nodes = [cluster.start_node(f'n{n}', 10 * n, 'a') for n in (1, 2)]
    context.operators = nodes[0][1]
    context.callers = [pair[0] for pair in nodes]
    for url in context.callers:
        ready = f'{url}/readyz'
        wait_until(lambda url=ready: call(url)[0] == 200, 15, 'ready')
    apply_maps(context, {1: SHARDS}, 0)
    urls = [url + SEARCH for url in context.callers]
    context.load = SearchLoad(urls)
    context.add_cleanup(context.load.close)
    time.sleep(2)


def start_replica(context, name, port, **cfg):
    address = context.cluster.start_upstream(name, port, shards=SHARDS, **cfg)
    context.addresses[name] = address
    context.direct[name] = f'http://{address}'


def apply_maps(context, maps, expected):
    spec = {
        'shard_maps': [
            {
                'version': version,
                'shards': [shard_of(context, s) for s in names],
            }
            for version, names in maps.items()
        ],
        'callers': [{'name': 'clerk', 'token_sha256': digest(CALLER_TOKEN)}],
        'kinds': [{'name': 'lookup', 'deadline_ms': 3000}],
    }
    status, body = call(
        f'{context.operators}/v1/fronts/{FRONT}',
        spec,
        'PUT',
        OPERATOR_TOKEN,
        {'if-match': str(expected)},
    )
    assert status == 200, body
    context.revision = body['revision']
    line = f'crocusroad_front_revision{{front="{FRONT}"}}'
    line = f'{line} {float(context.revision)}'
    for url in context.callers:
        metrics = f'{url}/metrics'
        wait_until(lambda url=metrics: line in call(url)[1], 10, line)


def shard_of(context, shard):
    replicas = [
        {'name': name, 'address': address, 'zone': 'a'}
        for name, address in context.addresses.items()
        if name.startswith(f'{shard}-')
    ]
    return {'name': shard, 'replicas': replicas}


def fault(context, name, **body):
    call(f'{context.direct[name]}/fault', body)


def stat(context, name, key):
    return call(f'{context.direct[name]}/stats')[1][key]


@then('searches stay whole while KV and instance list are down for 2 s')
def step_platform_down(context):
    url = f'http://{context.cluster.platform_address}/fault'
    start = time.monotonic()
    call(url, {'mode': 'down'})
    context.load.check_between(start, start + 2)
    call(url, {'mode': 'up'})


@then('a caller that hangs up leaves no search held upstream after 1 s')
def step_hang_up(context):
    start = time.monotonic()
    names = [name for name in context.direct if name[:2] in SHARDS]
    names = [name for name in names if name[2] == '-']
    before = sum(stat(context, name, 'cancelled') for name in names)
    host, _, port = context.callers[0].removeprefix('http://').rpartition(':')
    query = {'text': 'san', 'service_ms': 2900}
    body = json.dumps({'kind': 'lookup', 'query': query})
    head = (
        f'POST {SEARCH} HTTP/1.1\r\nhost: x\r\n'
        f'authorization: Bearer {CALLER_TOKEN}\r\n'
        f'content-type: application/json\r\ncontent-length: {len(body)}'
    )
    with socket.create_connection((host, int(port)), 5) as caller:
        caller.sendall(f'{head}\r\n\r\n{body}'.encode())
        time.sleep(0.3)
        held = sum(stat(context, name, 'held') for name in names)
    time.sleep(1)
    assert held >= len(SHARDS), held
    after = sum(stat(context, name, 'cancelled') for name in names)
    assert after - before >= len(SHARDS), (before, after)
    # Searches of the load come and go; what was cut off would stay 2.9 s.
    for name in names:
        wait_until(lambda name=name: not stat(context, name, 'held'), 0.3, name)
    context.load.check_between(start, time.monotonic())


@then('a replica that drains gets no new search after 3 s')
def step_drain(context):
    start = time.monotonic()
    fault(context, 's1-r0', mode='drain')
    time.sleep(3)
    asked = stat(context, 's1-r0', 'asked')
    context.load.check_between(start, start + 5)
    later = stat(context, 's1-r0', 'asked')
    assert later == asked, (asked, later)
    assert asked  # it had its share before
    fault(context, 's1-r0', mode='up')


@then('searches stay whole while a replica is frozen for 2 s and goes on')
def step_frozen(context):
    start = time.monotonic()
    context.cluster.send_signal('s0-r0', signal.SIGSTOP)
    time.sleep(2)
    context.cluster.send_signal('s0-r0', signal.SIGCONT)
    context.load.check_between(start, start + 4)


@then('silent connections slow searches for at most 5 s')
def step_silent(context):
    start = time.monotonic()
    former = latency(context.load.check_between(start - 2, start))
    begun = stat(context, 's0-r1', 'begun')
    context.cluster.send_signal('relay', signal.SIGUSR1)
    context.load.check_between(start, start + 5)
    now = latency(context.load.check_between(start + 5, start + 7))
    assert now <= 2 * former + MARGIN_SECONDS, (former, now)
    assert stat(context, 's0-r1', 'begun') > begun  # over new connections


def latency(found):
    """Return the 90th percentile of latencies, seconds."""
    return statistics.quantiles([one.seconds for one in found], n=10)[-1]


@then('searches stay whole after a SIGKILL of a replica')
def step_killed(context):
    start = time.monotonic()
    context.cluster.send_signal('s0-r0', signal.SIGKILL)
    context.load.check_between(start, start + 3)


@then('searches stay whole while replicas move to version 2 one by one')
def step_versions(context):
    start = time.monotonic()
    apply_maps(context, {1: SHARDS, 2: [*HALVES, 's1']}, context.revision)
    for name in ('s1-r0', 's1-r1'):
        time.sleep(1)
        fault(context, name, versions=[2])
    moved = time.monotonic()
    found = context.load.check_between(start, moved + 2)
    late = {one.snapshot for one in found if one.due > moved + 1}
    assert found[0].snapshot == 1, found[0]
    assert late == {2}, late
