"""Processor time and memory of a node, over real sockets, by fan-out.

Run: python -m bench.node_cost [SHARDS ...]
One node, upstreams that answer at once, callers in a closed loop.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig

from tests.support.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)

BASE_PORT = int(os.environ.get('CROCUSROAD_BASE_PORT', '31000'))
SECONDS = 6.0
CALLERS = 4
UPSTREAM_PROCESSES = 4
READY_SECONDS = 30
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def replicas_of(cluster: Cluster, shards: int) -> list[dict[str, object]]:
    """Return the settings of one replica a shard."""
    names = [f's{place}' for place in range(shards)]
    return [
        {
            'listen': f'127.0.0.1:{cluster.base_port + 100 + place}',
            'shard': name,
            'shards': names,
            'service_ms': 0,
            'zone_ms': 0,
            'connections': 200,
            'slots': 100,
            'queue': 1000,
        }
        for place, name in enumerate(names)
    ]


def front_of(replicas: list[dict[str, object]]) -> dict[str, object]:
    """Return the spec of a front over the replicas."""
    shards = [
        {
            'name': one['shard'],
            'replicas': [
                {
                    'name': one['shard'],
                    'address': one['listen'],
                    'zone': 'a',
                    'slots': 100,
                    'connections': 200,
                }
            ],
        }
        for one in replicas
    ]
    return {
        'shard_maps': [{'version': 1, 'shards': shards}],
        'callers': [
            {
                'name': 'bench',
                'token_sha256': digest(CALLER_TOKEN),
                'rate': 1e6,
            }
        ],
        'kinds': [{'name': 'look', 'deadline_ms': 5000}],
    }


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(text[11]) + int(text[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


async def load(url: str, seconds: float) -> list[int]:
    """Query in a closed loop; return the shards answered of each query."""
    client = HTTPClient(TCPConnector({':default': PoolConfig(size=CALLERS)}))
    answered: list[int] = []
    end = time.perf_counter() + seconds

    async def caller() -> None:
        body = json.dumps({'kind': 'look', 'query': {'text': 'san'}})
        headers = {
            'authorization': f'Bearer {CALLER_TOKEN}',
            'content-type': 'application/json',
        }
        while time.perf_counter() < end:
            response = await client.post(
                f'{url}/fronts/cost/search', data=body, headers=headers
            )
            answer = json.loads(await response.content())
            answered.append(answer.get('coverage', {}).get('answered', 0))

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return answered


def measure(shards: int) -> None:
    """Print the figures of one fan-out."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, BASE_PORT)
        try:
            print(line(cluster, shards))
        finally:
            cluster.close()


def line(cluster: Cluster, shards: int) -> str:
    """Run one fan-out and return its figures as a line."""
    cluster.start_platform()
    replicas = replicas_of(cluster, shards)
    for number in range(UPSTREAM_PROCESSES):
        chunk = replicas[number::UPSTREAM_PROCESSES]
        cluster.start_upstreams(f'upstreams-{number}', chunk)
    url, operators = cluster.start_node('node-a', 10, 'a')
    wait_until(lambda: call(f'{url}/readyz')[0] == 200, READY_SECONDS, 'ready')
    path = f'{operators}/v1/fronts/cost'
    status, body = call(path, front_of(replicas), 'PUT', OPERATOR_TOKEN)
    assert status == 200, body
    wait_until(
        lambda: 'front="cost"' in call(f'{url}/metrics')[1],
        READY_SECONDS,
        'in force',
    )
    asyncio.run(load(url, 3))
    pid = cluster.procs['node-a'].pid
    before = processor_seconds(pid)
    started = time.perf_counter()
    answered = asyncio.run(load(url, SECONDS))
    wall = time.perf_counter() - started
    used = processor_seconds(pid) - before
    total = sum(answered)
    return (
        f'shards {shards}: {total / wall:,.0f} sub-requests/s, '
        f'{len(answered) / wall:.1f} queries/s, '
        f'{used / wall:.0%} of a core, '
        f'{used / total * 1e6:.0f} us a sub-request, '
        f'whole {sum(n == shards for n in answered)} of {len(answered)}, '
        f'{resident_bytes(pid) / 2**20:.0f} MB'
    )


if __name__ == '__main__':
    for word in sys.argv[1:] or ('20', '100', '400'):
        measure(int(word))
