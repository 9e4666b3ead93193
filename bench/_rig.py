"""The processes of one bench run: platform, upstreams and nodes."""

import sys
import time

from bench._profile import FrontSize, Profile
from tests.support.cluster import (
    CALLER_TOKEN,
    Cluster,
    call,
    digest,
    wait_until,
)

REPLICAS_PER_PROCESS = 16
UPSTREAM_PORT = 200
READY_SECONDS = 30
FAULT_SHARE = 10  # one replica in so many is faulty


def _sections(policy: dict[str, str]) -> dict[str, dict[str, str]]:
    return {'routing': policy} if policy else {}


class Rig:
    """A running profile."""

    def __init__(self, folder: str, base_port: int, profile: Profile) -> None:
        self.profile = profile
        self.cluster = Cluster(folder, base_port)
        self.replicas: list[dict[str, object]] = []
        self.nodes: list[tuple[str, str]] = []

    def start(self, policy: dict[str, str]) -> None:
        """Start every process and put the fronts in force."""
        self.cluster.start_platform()
        specs = {front.name: self._spec(front) for front in self.profile.fronts}
        for start in range(0, len(self.replicas), REPLICAS_PER_PROCESS):
            chunk = self.replicas[start : start + REPLICAS_PER_PROCESS]
            self.cluster.start_upstreams(f'upstreams-{start}', chunk)
        self.start_nodes(policy)
        for name, spec in specs.items():
            self._apply(name, spec)

    def start_nodes(self, policy: dict[str, str]) -> None:
        """Start the nodes with a routing policy."""
        zones = self.profile.zones
        for number in range(self.profile.instances):
            zone = zones[number % len(zones)]
            name = f'node-{number}'
            pair = self.cluster.start_node(
                name, 10 + 3 * number, zone, **_sections(policy)
            )
            self.nodes.append(pair)
        for url, _ in self.nodes:
            wait_until(
                lambda url=url: call(f'{url}/readyz')[0] == 200,
                READY_SECONDS,
                f'{url} ready',
            )

    def fault(self, mode: str) -> None:
        """Put one replica in ten into a fault mode, spread over shards."""
        for place, replica in enumerate(self.replicas):
            faulty = place % FAULT_SHARE == 3
            url = f'http://{replica["listen"]}/fault'
            call(url, {'mode': mode if faulty else 'up'})

    def sub_requests(self) -> int:
        """Return how many sub-requests all upstreams began."""
        counts = (
            call(f'http://{one["listen"]}/stats')[1]['begun']
            for one in self.replicas
        )
        return sum(counts)

    def node_counts(self, metric: str) -> dict[str, float]:
        """Return the samples of a counter, summed over the nodes."""
        found: dict[str, float] = {}
        for url, _ in self.nodes:
            for line in call(f'{url}/metrics')[1].splitlines():
                if line.startswith(metric):
                    name, _, number = line.rpartition(' ')
                    found[name] = found.get(name, 0) + float(number)
        return found

    def close(self) -> None:
        """End every process."""
        self.cluster.close()

    def _spec(self, front: FrontSize) -> dict[str, object]:
        names = [f'{front.name}-{place}' for place in range(front.shards)]
        shards = [
            {'name': name, 'replicas': self._replicas(front, place, names)}
            for place, name in enumerate(names)
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
            'kinds': [
                {
                    'name': kind.name,
                    'worth': kind.worth,
                    'deadline_ms': kind.deadline_ms,
                    'max_in_flight': 10_000,
                }
                for kind in front.mix
            ],
        }

    def _replicas(
        self, front: FrontSize, place: int, names: list[str]
    ) -> list[dict[str, object]]:
        zones = self.profile.zones
        made = []
        for copy in range(front.replicas):
            number = len(self.replicas)
            port = self.cluster.base_port + UPSTREAM_PORT + number
            zone = zones[(place + copy) % len(zones)]
            name = f'{names[place]}-r{copy}'
            self.replicas.append(
                {
                    'listen': f'127.0.0.1:{port}',
                    'shard': names[place],
                    'shards': names,
                    'zone': zone,
                    'zone_ms': self.profile.zone_ms,
                    'slots': front.slots,
                    'connections': front.connections,
                    'connect_ms': front.connect_ms,
                    'service_ms': front.service_ms,
                    'seed': number,
                }
            )
            made.append(
                {
                    'name': name,
                    'address': f'127.0.0.1:{port}',
                    'zone': zone,
                    'slots': front.slots,
                    'connections': front.connections,
                }
            )
        return made

    def _apply(self, name: str, spec: dict[str, object]) -> None:
        url = f'{self.nodes[0][1]}/v1/fronts/{name}'
        status, body = call(
            url, spec, 'PUT', 'operator-token', {'if-match': '0'}
        )
        if status >= 300:
            sys.exit(f'front {name} refused: {body}')
        for node, _ in self.nodes:
            wait_until(
                lambda node=node: (
                    f'front="{name}"}}' in call(f'{node}/metrics')[1]
                ),
                READY_SECONDS,
                f'{name} in force on {node}',
            )
        time.sleep(0.1)
