import json
import os
import tempfile

from behave import given, then, when

from tests.support.cluster import (
    CALLER_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)

PORT = int(os.environ.get('CROCUSROAD_BASE_PORT', '21000')) + 700
SHARDS = ['s0', 's1', 's2']
POISON = {'crash': True}


@given('three nodes before six upstream processes')
def step_start(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    cluster = context.cluster = Cluster(folder.name, PORT)
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    maps = [start_shard(cluster, shard) for shard in SHARDS]
    context.upstreams = [
        one['name'] for shard in maps for one in shard['replicas']
    ]
    nodes = [
        cluster.start_node(f'n{one}', 100 + 10 * one, 'a') for one in range(3)
    ]
    context.nodes = [callers for callers, _ in nodes]
    front = {
        'shard_maps': [{'version': 1, 'shards': maps}],
        'callers': [{'name': 'desk', 'token_sha256': digest(CALLER_TOKEN)}],
        'kinds': [{'name': 'find', 'deadline_ms': 2000}],
    }
    file = cluster.folder / 'front.json'
    file.write_text(json.dumps(front))
    wait_until(lambda: all_up(context), 15, 'nodes ready')
    done = cluster.ctl(nodes[0][1], 'apply', 'desk', str(file))
    assert done.returncode == 0, done.stderr + done.stdout
    wait_until(lambda: all_know(context), 15, 'front in force')
    wait_until(lambda: all_see_peers(context), 20, 'peers seen')


def start_shard(cluster, shard):
    replicas = []
    for one in range(2):
        name = f'{shard}r{one}'
        port = 10 + 2 * SHARDS.index(shard) + one
        address = cluster.start_upstream(
            name,
            port,
            shard=shard,
            shards=SHARDS,
            zone='a',
        )
        replicas.append({'name': name, 'address': address, 'zone': 'a'})
    return {'name': shard, 'replicas': replicas}


def all_up(context):
    return all(call(f'{node}/healthz')[0] == 200 for node in context.nodes)


def all_know(context):
    got = [ask(node, {'text': 'a'}) for node in context.nodes]
    return all(status == 200 for status, _ in got)


def all_see_peers(context):
    wanted = 'crocusroad_peer_members{state="alive"} 2.0'
    texts = [call(f'{node}/metrics')[1] for node in context.nodes]
    return all(wanted in text for text in texts)


def ask(node, query):
    body = {'kind': 'find', 'query': query}
    return call(f'{node}/fronts/desk/search', body, token=CALLER_TOKEN)


@when('a search that ends its upstream comes to each node in turn, three times')
def step_poison(context):
    for _ in range(3):
        for node in context.nodes:
            status, _ = ask(node, POISON)
            assert status != 200


@then('at most two upstream processes ended')
def step_ended(context):
    procs = context.cluster.procs
    ended = [name for name in context.upstreams if procs[name].poll()]
    assert 0 < len(ended) <= 2, ended


@then('each node refuses the search as quarantined, not run')
def step_refuses(context):
    for node in context.nodes:
        status, problem = ask(node, POISON)
        assert (problem['kind'], problem['ran']) == ('quarantined', 'no')
        assert status == 422 and problem['retry_after_ms'] > 0


@then('another search is answered from the shards that are left')
def step_left(context):
    status, answer = ask(context.nodes[0], {'text': 'b'})
    assert status == 200 and answer['coverage']['answered'] >= len(SHARDS) - 1
