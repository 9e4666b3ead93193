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

BASE_PORT = int(os.environ.get('CROCUSROAD_BASE_PORT', '21000')) + 700
SHARDS = ['s0', 's1', 's2']
POISON_QUERY = {'crash': True}


@given('three instances and six upstream processes')
def step_start(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    cluster = context.cluster = Cluster(folder.name, BASE_PORT)
    context.add_cleanup(cluster.close)
    cluster.start_platform()
    shard_specs = [start_shard(cluster, shard) for shard in SHARDS]
    context.upstreams = [
        replica['name'] for spec in shard_specs for replica in spec['replicas']
    ]
    nodes = [
        cluster.start_node(f'n{index}', 100 + 10 * index, 'a')
        for index in range(3)
    ]
    context.nodes = [callers for callers, _ in nodes]
    front = {
        'shard_maps': [{'version': 1, 'shards': shard_specs}],
        'callers': [{'name': 'desk', 'token_sha256': digest(CALLER_TOKEN)}],
        'kinds': [{'name': 'find', 'deadline_ms': 2000}],
    }
    path = cluster.folder / 'front.json'
    path.write_text(json.dumps(front))
    wait_until(lambda: all_healthy(context), 15, 'instances ready')
    applied = cluster.run_crocusctl(nodes[0][1], 'apply', 'desk', str(path))
    assert applied.returncode == 0, applied.stderr + applied.stdout
    wait_until(lambda: all_serve_front(context), 15, 'front in force')
    wait_until(lambda: all_see_two_peers(context), 20, 'peers alive')


def start_shard(cluster, shard):
    replicas = []
    for index in range(2):
        name = f'{shard}r{index}'
        port = 10 + 2 * SHARDS.index(shard) + index
        address = cluster.start_upstream(
            name,
            port,
            shard=shard,
            shards=SHARDS,
            zone='a',
        )
        replicas.append({'name': name, 'address': address, 'zone': 'a'})
    return {'name': shard, 'replicas': replicas}


def all_healthy(context):
    return all(call(f'{node}/healthz')[0] == 200 for node in context.nodes)


def all_serve_front(context):
    results = [search(node, {'text': 'a'}) for node in context.nodes]
    return all(status == 200 for status, _ in results)


def all_see_two_peers(context):
    expected = 'crocusroad_peer_members{state="alive"} 2.0'
    texts = [call(f'{node}/metrics')[1] for node in context.nodes]
    return all(expected in text for text in texts)


def search(node, query):
    body = {'kind': 'find', 'query': query}
    return call(f'{node}/fronts/desk/search', body, token=CALLER_TOKEN)


@when(
    'a search that crashes its upstream is sent to each instance in turn, '
    'three times'
)
def step_poison(context):
    for _ in range(3):
        for node in context.nodes:
            status, _ = search(node, POISON_QUERY)
            assert status != 200


@then('at most two upstream processes crashed')
def step_ended(context):
    procs = context.cluster.procs
    ended = [name for name in context.upstreams if procs[name].poll()]
    assert 0 < len(ended) <= 2, ended


@then('each instance refuses the search as "quarantined", with ran "no"')
def step_refuses(context):
    for node in context.nodes:
        status, problem = search(node, POISON_QUERY)
        assert (problem['kind'], problem['ran']) == ('quarantined', 'no')
        assert status == 422 and problem['retry_after_ms'] > 0


@then('another search is answered from the remaining shards')
def step_other_search(context):
    status, answer = search(context.nodes[0], {'text': 'b'})
    assert status == 200 and answer['coverage']['answered'] >= len(SHARDS) - 1
