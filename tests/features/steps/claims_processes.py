import signal
import tempfile
import threading
import time

from behave import given, then

from tests.properties.claims import uuid7
from tests.support.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)
from tests.support.free_ports import free_base

FRONT = 'desk'
BOUND_SECONDS = 20  # until a revision is in force everywhere
SHARDS = ['s0', 's1']


def spec(shards, worth):
    return {
        'shard_maps': [{'version': 1, 'shards': shards}],
        'callers': [{'name': 'clerk', 'token_sha256': digest(CALLER_TOKEN)}],
        'kinds': [
            {'name': 'lookup', 'worth': worth},
            {'name': 'book', 'repeatable': False, 'deadline_ms': 3000},
        ],
    }


@given('a small cluster with a front that takes actions')
def step_cluster(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    cluster = context.cluster = Cluster(folder.name, free_base())
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    context.shards, context.replicas = [], []
    for place, shard in enumerate(SHARDS):
        replicas = []
        for copy in (0, 1):
            port = 30 + 2 * place + copy
            address = cluster.start_upstream(
                f'{shard}-r{copy}', port, shard=shard, shards=SHARDS
            )
            context.replicas.append(f'http://{address}')
            replicas.append(
                {'name': f'{shard}-r{copy}', 'address': address, 'zone': 'a'}
            )
        context.shards.append({'name': shard, 'replicas': replicas})
    context.nodes = {
        name: cluster.start_node(name, 10 * place + 1, 'a')
        for place, name in enumerate(('one', 'two'))
    }
    context.serial = 0
    for name in context.nodes:
        wait_ready(context, name)
    status, body = apply(context, 'one', 1, 0)
    assert status == 200, body
    context.revision = body['revision']
    wait_in_force(context, ('one', 'two'), context.revision)


def wait_ready(context, name):
    url = context.nodes[name][0]
    wait_until(lambda: call(f'{url}/readyz')[0] == 200, 20, f'{name} ready')


def apply(context, name, worth, expected):
    return call(
        f'{context.nodes[name][1]}/v1/fronts/{FRONT}',
        spec(context.shards, worth),
        'PUT',
        OPERATOR_TOKEN,
        {'if-match': str(expected)},
        timeout=30,
    )


def wait_in_force(context, names, revision):
    line = f'crocusroad_front_revision{{front="{FRONT}"}} {float(revision)}'
    for name in names:
        url = context.nodes[name][0]
        wait_until(
            lambda url=url: line in call(f'{url}/metrics')[1],
            BOUND_SECONDS,
            f'revision {revision} in force on {name}',
        )


def kv(context, mode):
    call(f'http://{context.cluster.platform}/fault', {'mode': mode})


def kv_stats(context):
    return call(f'http://{context.cluster.platform}/stats')[1]


def new_key(context):
    context.serial += 1
    return uuid7(context.serial, time.time())


def act(context, name, key):
    return call(
        f'{context.nodes[name][0]}/fronts/{FRONT}/action',
        {'kind': 'book', 'shard': 's0', 'body': {'text': 'san'}},
        'POST',
        CALLER_TOKEN,
        {'idempotency-key': key},
        timeout=30,
    )


def ran(context, key):
    stats = [call(f'{url}/stats')[1] for url in context.replicas]
    return sum(one['actions'].get(key, 0) for one in stats)


@then(
    'an accepted revision is in force everywhere within 20 s of a SIGKILL '
    'of its node'
)
def step_kill(context):
    status, body = apply(context, 'one', 2, context.revision)
    context.cluster.signal('one', signal.SIGKILL)
    assert status == 200, body
    context.cluster.procs['one'].wait()
    wait_in_force(context, ('two',), body['revision'])
    context.nodes['one'] = context.cluster.start_node('one', 1, 'a')
    wait_in_force(context, ('one',), body['revision'])
    context.revision = body['revision']


@then('{count:d} actions cost 2 KV writes each and no read')
def step_cost(context, count):
    assert act(context, 'two', new_key(context))[0] == 200  # grants the lease
    time.sleep(0.5)
    before = kv_stats(context)
    keys = [new_key(context) for _ in range(count)]
    for key in keys:
        status, body = act(context, 'two', key)
        assert status == 200, body
    wait_until(
        lambda: kv_stats(context)['writes'] - before['writes'] == 2 * count,
        5,
        'two writes an action',
    )
    # Watches and looks of two nodes go on meanwhile.
    calls = kv_stats(context)['calls'] - before['calls']
    assert calls <= 2 * count + 4, calls
    assert all(ran(context, key) == 1 for key in keys)
    context.key = keys[0]


@then('a repeat at the other node brings the recorded answer')
def step_repeat(context):
    first = act(context, 'two', context.key)
    second = act(context, 'one', context.key)
    assert first[0] == second[0] == 200, (first, second)
    assert first[1] == second[1]
    assert ran(context, context.key) == 1


@then(
    'while the KV is down an action is refused as not run, and runs later once'
)
def step_down(context):
    key = new_key(context)
    kv(context, 'down')
    refused = act(context, 'one', key)
    written = apply(context, 'one', 3, context.revision)
    search = call(
        f'{context.nodes["one"][0]}/fronts/{FRONT}/search',
        {'kind': 'lookup', 'query': {'text': 'san'}},
        'POST',
        CALLER_TOKEN,
    )
    kv(context, 'up')
    kind, ran_state = refused[1]['kind'], refused[1]['ran']
    assert (kind, ran_state) == ('claim-unavailable', 'no'), refused
    assert written[0] != 200, written
    assert search[0] == 200, search
    assert ran(context, key) == 0
    assert act(context, 'two', key)[0] == 200
    assert act(context, 'one', key)[0] == 200
    assert ran(context, key) == 1


@then('while the KV loses its replies an action is refused and nothing runs')
def step_lost(context):
    key = new_key(context)
    kv(context, 'lose-replies')
    refused = act(context, 'one', key)
    kv(context, 'up')
    assert refused[1].get('kind') == 'claim-unavailable', refused
    repeat = act(context, 'two', key)
    assert repeat[1].get('kind') in ('in-progress', 'outcome-unknown'), repeat
    assert ran(context, key) == 0


@then('a node frozen at its claim runs nothing that a repeat has run')
def step_freeze(context):
    key = new_key(context)
    answers = []
    kv(context, 'slow')
    asking = threading.Thread(
        target=lambda: answers.append(act(context, 'one', key))
    )
    asking.start()
    time.sleep(0.7)  # the claim is on its way; the KV takes 1.5 s
    context.cluster.signal('one', signal.SIGSTOP)
    time.sleep(1.5)
    kv(context, 'up')
    repeat = act(context, 'two', key)
    time.sleep(3)  # past the holder's deadline
    context.cluster.signal('one', signal.SIGCONT)
    asking.join()
    assert repeat[0] != 200, repeat
    assert answers[0][1]['ran'] == 'no', answers
    assert ran(context, key) == 0
    again = act(context, 'two', key)
    assert again[0] in (200, 409, 504), again
    assert ran(context, key) == (1 if again[0] == 200 else 0)


@then('a node that starts while the KV is down serves what its peer has')
def step_start(context):
    kv(context, 'kv-down')
    context.cluster.signal('one', signal.SIGKILL)
    context.cluster.procs['one'].wait()
    context.nodes['one'] = context.cluster.start_node('one', 1, 'a')
    try:
        wait_in_force(context, ('one',), context.revision)
    finally:
        kv(context, 'up')
