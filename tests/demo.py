"""The demo: a whole small cluster, its main job and three faults."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from hdrh.histogram import HdrHistogram

from tests.support.cluster import (
    CALLER_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)

SHARDS = 20
REPLICAS = 2
ZONES = ('a', 'b', 'c')
BASE_PORT = int(os.environ.get('CROCUSROAD_BASE_PORT', '21000'))
FRONT = 'call-desk'
QUERIES_PER_SECOND = 30
SECONDS = 12
WORDS = ('san', 'erd', 'spl', 'new', 'dar', 'zag', 'kha', 'por', 'mar', 'ulaan')


def start(cluster):
    cluster.start_platform()
    names = [f's{number:02}' for number in range(SHARDS)]
    shards = []
    for place, shard in enumerate(names):
        replicas = []
        for copy in range(REPLICAS):
            name = f'{shard}-r{copy}'
            zone = ZONES[(place + copy) % len(ZONES)]
            address = cluster.start_upstream(
                name,
                100 + place * REPLICAS + copy,
                shard=shard,
                shards=names,
                zone=zone,
                seed=place * REPLICAS + copy,
            )
            replicas.append(
                {
                    'name': name,
                    'address': address,
                    'zone': zone,
                    'slots': 2,
                    'connections': 25,
                }
            )
        shards.append({'name': shard, 'replicas': replicas})
    nodes = [
        cluster.start_node(f'node-{zone}', 10 * number + 10, zone)
        for number, zone in enumerate(ZONES)
    ]
    return shards, nodes


def spec_of(shards):
    return {
        'shard_maps': [{'version': 1, 'shards': shards}],
        'callers': [{'name': 'desk', 'token_sha256': digest(CALLER_TOKEN)}],
        'kinds': [{'name': 'lookup', 'worth': 5, 'deadline_ms': 1000}],
    }


class Load:
    """Open-loop load; every request is accounted for."""

    def __init__(self, nodes):
        self.nodes = list(nodes)
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.coverage = []
        self.outcomes = {}
        self.client = HTTPClient(
            TCPConnector({':default': PoolConfig(size=400)})
        )

    async def one(self, number, due):
        url = self.nodes[number % len(self.nodes)]
        body = {'kind': 'lookup', 'query': {'text': WORDS[number % len(WORDS)]}}
        headers = {
            'authorization': f'Bearer {CALLER_TOKEN}',
            'content-type': 'application/json',
        }
        try:
            response = await self.client.post(
                f'{url}/fronts/{FRONT}/search',
                data=json.dumps(body),
                headers=headers,
            )
            answer = json.loads(await response.content())
        except Exception as exc:
            self.count(f'cut: {type(exc).__name__}')
            return
        self.latency.record_value(int((time.perf_counter() - due) * 1e6))
        if response.status_code != 200:
            self.count(f'refused: {answer["kind"]}')
            return
        coverage = answer['coverage']
        self.coverage.append(coverage['answered'] / coverage['shards'])
        self.count('answered')

    def count(self, outcome):
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    async def run(self, events):
        started = time.perf_counter()
        tasks = []
        for number in range(QUERIES_PER_SECOND * SECONDS):
            due = started + number / QUERIES_PER_SECOND
            await asyncio.sleep(max(0, due - time.perf_counter()))
            while events and events[0][0] <= time.perf_counter() - started:
                events.pop(0)[1]()
            tasks.append(asyncio.create_task(self.one(number, due)))
        await asyncio.gather(*tasks)


def extra_load(nodes):
    """Return the sub-requests beyond the first ones, as a share of these."""
    first = total = 0
    for url in nodes:
        for line in call(f'{url}/metrics')[1].splitlines():
            if line.startswith('crocusroad_attempts_total{'):
                count = float(line.split()[-1])
                total += count
                first += count if 'role="first"' in line else 0
    return total / first - 1


def main():
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, BASE_PORT)
        try:
            return show(cluster, folder)
        finally:
            cluster.close()


def show(cluster, folder):
    shards, nodes = start(cluster)
    callers = [pair[0] for pair in nodes]
    file = Path(folder) / 'front.json'
    file.write_text(json.dumps(spec_of(shards)))
    for url in callers:
        wait_until(lambda url=url: call(f'{url}/readyz')[0] == 200, 15, url)
    applied = cluster.run_crocusctl(nodes[0][1], 'apply', FRONT, str(file))
    print('crocusctl apply:', applied.stdout.strip(), applied.stderr.strip())
    assert applied.returncode == 0
    for url in callers:
        wait_until(lambda url=url: in_force(url), 5, f'front in force on {url}')
    print('in force on', len(callers), 'nodes')
    load = Load(callers)
    stopped = f'node-{ZONES[-1]}'

    def stop_node():
        cluster.send_signal(stopped, signal.SIGTERM)
        load.nodes = callers[:-1]

    asyncio.run(
        load.run(
            [
                (3, lambda: cluster.send_signal('s03-r0', signal.SIGSTOP)),
                (5, lambda: cluster.send_signal('s07-r1', signal.SIGKILL)),
                (8, stop_node),
            ]
        )
    )
    return report(load, extra_load(callers[:-1]), cluster.procs[stopped])


def in_force(url):
    metrics = call(f'{url}/metrics')[1]
    return f'crocusroad_front_revision{{front="{FRONT}"}}' in metrics


def report(load, extra, stopped):
    at = load.latency.get_value_at_percentile
    print('outcomes:', load.outcomes)
    print(
        'latency ms: p50 {:.1f}, p99 {:.1f}, p99.9 {:.1f}'.format(
            *(at(point) / 1000 for point in (50, 99, 99.9))
        )
    )
    full = sum(part == 1 for part in load.coverage)
    print(f'coverage 1.0 in {full} of {len(load.coverage)} answers')
    print(f'extra load on upstreams: {extra:.1%}')
    stopped.wait(timeout=10)
    faults = [key for key in load.outcomes if key != 'answered']
    if faults or full != len(load.coverage) or stopped.returncode != 0:
        print('NOT TRUE: a request was cut, refused or not covered', faults)
        return 1
    print('no request was cut')
    return 0


if __name__ == '__main__':
    sys.exit(main())
