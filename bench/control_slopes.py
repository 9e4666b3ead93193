"""Control cost of a node against the number of nodes, fronts and replicas.

Run: python -m bench.control_slopes [--out FILE] [--nodes 10,30,100,300]

The decisions of many members run in one process in virtual time, with the
real codec; a few real peers on loopback give the true cost of the channel.
"""

import argparse
import asyncio
import gc
import json
import os
import resource
import time
import tracemalloc

from crocusroad_core.configs import Change, FrontRegistry, export_changes
from crocusroad_core.members import Membership
from crocusroad_node.peers import encode_frame, parse_keys
from crocusroad_wire import PEER_VERSION, MemberUpdate, PeerFrame
from tests.support.peer_nodes import KEY, make_nodes, run_nodes, wait_until
from tests.support.peers_net import MembershipNet, address_of

SECONDS = 60
VIEW = 64  # members that each node knows, where all would fill the memory
WHOLE_VIEW = 300  # nodes up to which each knows all
TCP_BYTES = 66  # headers of one message on a kept connection
ACK_BYTES = 52
WINDOW_SECONDS = 10
RESTARTS_A_DAY_AND_NODE = 7700 / 3100


def envelope():
    """Return the bytes of a frame around an empty body."""
    frame = PeerFrame(
        PEER_VERSION, 'demo', 'probe', 'node-0001', 2**41, 2**20, 0, 1e9, b''
    )
    return len(encode_frame(frame, parse_keys(KEY)))


MESSAGE_BYTES = envelope() + TCP_BYTES + ACK_BYTES


def steady(count):
    """Measure a minute at the brief's rate of restarts."""
    net = MembershipNet(count, view=0 if count <= WHOLE_VIEW else VIEW)
    net.tick(10)
    net.messages = net.bytes = 0
    due = 0.0
    began = time.process_time()
    for _ in range(SECONDS):
        due += count * RESTARTS_A_DAY_AND_NODE / 86400
        while due >= 1:
            due -= 1
            net.start(net.rng.choice(net.running()))
        net.tick()
    cpu = time.process_time() - began
    each = count * SECONDS
    wire = net.bytes + net.messages * MESSAGE_BYTES
    return {
        'nodes': count,
        'messages_a_second': net.messages / each,
        'body_bytes_a_second': net.bytes / each,
        'wire_bytes_a_second': wire / each,
        'decision_share_of_core': cpu / each,
    }


def spread(count):
    """Return seconds and messages a node until all nodes know a position."""
    net = MembershipNet(count, view=0 if count <= WHOLE_VIEW else VIEW)
    net.tick(3)
    net.messages = net.bytes = 0
    return net.spread(5, net.running()[:1], 60), net.messages / count


def zone_loss(count, seed=0):
    """Stop a third of the nodes and return how the others detect it.

    Returns the seconds until no survivor holds a stopped node to be running,
    and the bytes a second that a survivor sends in the worst ten seconds.
    """
    net = MembershipNet(count, seed)
    net.fill_views()
    net.tick(3)
    for name in net.running()[::3]:
        net.kill(name)
    survivors = len(net.running())
    worst = 0.0
    for second in range(0, 600, WINDOW_SECONDS):
        net.messages = net.bytes = 0
        for passed in range(1, WINDOW_SECONDS + 1):
            net.tick()
            if not net.stale_pairs():
                return second + passed, worst
        wire = net.bytes + net.messages * MESSAGE_BYTES
        worst = max(worst, wire / survivors / WINDOW_SECONDS)
    return None, worst


def table_bytes(count):
    """Return the memory of a table of `count` members."""
    gc.collect()
    tracemalloc.start()
    me = MemberUpdate('node-0000', 1, 0, 0, address_of('node-0000'), 'a')
    node = Membership(me, lambda below: 0)
    for number in range(1, count):
        name = f'node-{number:04}'
        update = MemberUpdate(name, number, 0, 0, address_of(name), 'a' * 1)
        node._merge(update, 0)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def front_bytes(fronts, shards, replicas):
    """Return the bytes and the CPU seconds of an export of all fronts."""
    registry = FrontRegistry()
    for number in range(fronts):
        spec = {
            'shard_maps': [
                {
                    'version': 1,
                    'shards': [
                        {
                            'name': f's{shard}',
                            'replicas': [
                                {
                                    'name': f's{shard}-r{copy}',
                                    'address': f'10.0.{shard % 250}.{copy}:80',
                                    'zone': 'abc'[copy % 3],
                                    'slots': 2,
                                    'connections': 25,
                                }
                                for copy in range(replicas)
                            ],
                        }
                        for shard in range(shards)
                    ],
                }
            ],
            'callers': [{'name': 'desk', 'token_sha256': '0' * 64}],
            'kinds': [{'name': 'lookup', 'worth': 1, 'deadline_ms': 1000}],
        }
        value = json.dumps({'spec': spec, 'write_id': '0' * 32})
        registry.adopt(Change(f'front-{number}', number + 1, value))
    registry.advance(fronts)
    began = time.process_time()
    payload = export_changes(registry, 0, 10**9)
    return len(payload), time.process_time() - began


def real(count, seconds):
    """Measure real peers in one process: CPU share, connections, memory."""
    nodes = make_nodes(count)

    async def measure(nodes):
        views = [node.service.members for node in nodes]
        await wait_until(
            lambda: all(len(view()) == count - 1 for view in views), 30
        )
        await asyncio.sleep(2)
        began, cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(seconds)
        share = (time.process_time() - cpu) / (time.monotonic() - began)
        changed_at = time.monotonic()
        nodes[0].position = 7
        await wait_until(lambda: all(node.position == 7 for node in nodes), 30)
        return {
            'peers': count,
            'share_of_core_a_node': share / count,
            'threads': len(os.listdir('/proc/self/task')),
            'connections_a_node': max(
                len(node.channel._connections) for node in nodes
            ),
            'rss_mb': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
            'position_everywhere_s': time.monotonic() - changed_at,
        }

    return run_nodes(nodes, measure)


def row(values):
    """Return a row of a table."""
    cells = [
        f'{value:.4g}' if isinstance(value, float) else str(value)
        for value in values
    ]
    return '| ' + ' | '.join(cells) + ' |'


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', default='10,30,100,300')
    parser.add_argument('--large', type=int, default=3100)
    parser.add_argument('--out')
    args = parser.parse_args()
    counts = [int(number) for number in args.nodes.split(',')]
    report = {'steady': [], 'spread': [], 'zone_loss': [], 'real': []}
    print('nodes | messages/s | body B/s | wire B/s | share of core')
    for count in [*counts, args.large]:
        figures = steady(count)
        report['steady'].append(figures)
        print(row(figures.values()), flush=True)
    print('nodes | seconds until a position is everywhere | messages a node')
    for count in [*counts, args.large]:
        seconds, messages = spread(count)
        report['spread'].append([count, seconds, messages])
        print(row([count, seconds, messages]), flush=True)
    print('nodes | seconds until a lost third is held dead by all | B/s')
    for count in counts:
        report['zone_loss'].append([count, *zone_loss(count)])
        print(row(report['zone_loss'][-1]), flush=True)
    print('members in the table | bytes')
    report['table'] = [[size, table_bytes(size)] for size in (100, 1000, 3100)]
    for values in report['table']:
        print(row(values))
    print('fronts | shards | replicas | bytes of a whole pull | seconds')
    sizes = [(1, 20, 2), (10, 20, 2), (100, 20, 2), (10, 200, 2), (10, 20, 8)]
    report['fronts'] = [[*size, *front_bytes(*size)] for size in sizes]
    for values in report['fronts']:
        print(row(values))
    print('peers | share of core | threads | links | MB of all | everywhere s')
    for count in (3, 8, 16):
        report['real'].append(real(count, 10))
        print(row(report['real'][-1].values()), flush=True)
    if args.out:
        with open(args.out, 'w') as file:
            json.dump(report, file, indent=1)


if __name__ == '__main__':
    main()
