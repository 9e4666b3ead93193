"""Gateways as the deploy file starts them, with a store and replicas."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from pathlib import Path

from review.replica import Replica
from tests.standins.fleet_store import FleetStore

ROOT = Path(__file__).resolve().parent.parent
HOST = 'pupu76.example'
METRICS_PORT = 9464  # as deploy/system.toml states it
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'StableWindowMs': 4000,
    'AckMs': 5000,
    'CatchUpS': 4,
    'DrainMs': 3000,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 3000,
    'RollbackSlackMs': 250,
    'MaxStretchMs': 12000,
    'RetryBudgetRatio': 0.2,
    'RetryWindowS': 10,
    'RetrySlack': 56,
    'RecoveryS': 12,
}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRunError(Exception):
    """Raised when the case cannot be played here."""


class Fleet:
    """Gateways, a store and replicas on loopback addresses of their own."""

    def __init__(self, case_folder):
        self.case_folder = Path(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix='crocusroad-review-'))
        self.started_at = time.monotonic()
        self.record_file = (self.case_folder / 'record.txt').open('w')
        self.network = _free_network()
        self.front_port = 8104
        self.store = FleetStore()
        self.replicas = {}
        self.procs = {}
        self.runs = defaultdict(list)  # (time, replica name), by request id
        self.request_count = 0
        self.version = 10
        self.zones = {}
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = role['roles']['gateway']['run'].split()

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, *fields):
        text = ' '.join(str(field) for field in fields)
        self.record_file.write(f'{self.now():9.3f} {text}\n')

    def on_run(self, replica, req):
        request_id = req.headers['x-request-id']
        self.runs[request_id].append((self.now(), replica.name))
        self.record('run', replica.name, request_id, req.method, req.path)

    async def start_store(self, gateways=12):
        hosts = [f'{self.network}.3.{n + 1}' for n in range(gateways)]
        await self.store.start(hosts, 8102)

    async def add_replica(self, name, service, work, **options):
        host = f'{self.network}.1.{len(self.replicas) + 1}'
        replica = Replica(self, name, service, (host, 8640), work, **options)
        await replica.start()
        self.replicas[name] = replica
        self.register(replica)
        return replica

    def register(self, replica, state='ready', zone='orkhon-a'):
        entry = {
            'Service': replica.service,
            'Address': replica.address,
            'Zone': zone,
            'Version': 'v1',
            'Slots': replica.slots,
            'State': state,
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': 1754219257000,
        }
        self.store.put(f'servers/{replica.name}', json.dumps(entry))
        self.record('store', replica.name, state)

    def configure(self, routes, services):
        """Write a configuration; `services` maps names to `MaxConns`."""
        self.version += 3
        config = {
            'Version': self.version,
            'Routes': routes,
            'Services': [
                {'Name': name, 'HealthPath': '/health', 'MaxConns': conns}
                for name, conns in services.items()
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }
        self.store.put('op/config', json.dumps(config))
        self.record('store config', self.version)

    def host(self, name):
        return f'{self.network}.2.{int(name[1:]) + 1}'

    def settings(self, name):
        host = self.host(name)
        zone = self.zones.get(name, 'orkhon-a')
        return {
            'NodeName': f'front-{zone}-{name[1:]}',
            'Role': 'gateway',
            'MachineClass': 'front',
            'Serves': ['front'],
            'Ip': host,
            'Zone': zone,
            'Region': 'orkhon',
            'Zones': {f'orkhon-{letter}': 'orkhon' for letter in 'abc'},
            'Listen': {'Front': f'{host}:8104', 'Ready': f'{host}:8108'},
            'PortRange': [7380, 7395],
            'Seeds': [],
            'Bootstrap': True,
            'Limits': {
                'CpuShare': 0.537,
                'Cores': 2,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
            },
            'Bounds': BOUNDS,
            'platform': {
                'Address': f'{self.network}.3.{int(name[1:]) + 1}:8102',
                'form': 'kv',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': 20,
                'ValueBytes': 1048576,
                'MinTtlMs': 1000,
            },
        }

    def spawn(self, name):
        file = self.folder / f'{name}.json'
        file.write_text(json.dumps(self.settings(name)))
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['CROCUSROAD_CONFIG'] = str(file)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self.folder / f'{name}.log').open('ab') as log:
            self.procs[name] = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record('start', name)

    async def spawn_ready(self, *names, seconds=15):
        for name in names:
            self.spawn(name)
        deadline = time.monotonic() + seconds
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > deadline:
                    raise CannotRunError(f'{name} is not ready: {self.log(name)}')
                await asyncio.sleep(0.1)
        self.record('ready', *names)

    async def is_ready(self, name):
        status, _, _ = await exchange(
            (self.host(name), 8108),
            b'GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n',
            1,
        )
        return status == 200

    def signal(self, name, signum):
        self.procs[name].send_signal(signum)
        self.record('signal', name, signal.Signals(signum).name)

    def log(self, name):
        return (self.folder / f'{name}.log').read_text()

    async def ask(
        self, name, path, method='GET', body=b'', deadline_ms=10_000, note=''
    ):
        """Send a client attempt on a new connection.

        Returns the id and the status; 0: the connection ended or the client
        gave up.
        """
        self.request_count += 1
        request_id = f'{self.request_count:08x}{random.getrandbits(32):08x}'
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Request-Deadline: {deadline_ms}',
        ]
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        raw = '\r\n'.join([*lines, '', '']).encode() + body
        self.record('send', name, request_id, method, path, note)
        status, headers, text = await exchange(
            (self.host(name), self.front_port), raw, deadline_ms / 1000 + 0.5
        )
        self.record(
            'answer', name, request_id, status, headers.get('retry-after', '')
        )
        return request_id, status, text

    async def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        for replica in self.replicas.values():
            replica.end()
        self.store.close()
        await asyncio.sleep(0.05)
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, **extra):
    """Return a route of the kind of the site's `meter-read`."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': prefix,
        'Type': 'idempotent',
        'TimeoutMs': 10_000,
        'SloMs': 600,
        'Priority': 2,
        'MaxAttempts': 2,
    } | extra


async def exchange(endpoint, raw, seconds):
    """Send bytes on a new connection; return status, headers and body."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*endpoint)
            writer.write(raw)
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                first, *rest = head.strip().split('\r\n')
                headers = {}
                for line in rest:
                    key, _, text = line.partition(':')
                    headers[key.strip().lower()] = text.strip()
                status = int(first.split()[1])
                if status >= 200:
                    break
            size = int(headers.get('content-length', 0))
            return status, headers, await reader.readexactly(size)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.close()


def run_case(case_folder, play):
    """Play a case and exit as the issue says: 1 broken, 0 held, 2 not run."""

    async def main():
        fleet = Fleet(case_folder)
        try:
            async with asyncio.timeout(115):
                is_broken, text = await play(fleet)
        finally:
            for name in sorted(fleet.procs):
                tail = fleet.log(name)
                for line in tail.splitlines():
                    if 'Traceback' in line or 'Error' in line:
                        fleet.record('log', name, line[:300])
            await fleet.close()
        with (Path(case_folder) / 'record.txt').open('a') as file:
            file.write(f'{"BROKEN" if is_broken else "HELD"}: {text}\n')
        print(f'{"BROKEN" if is_broken else "HELD"}: {text}')
        return int(is_broken)

    try:
        code = asyncio.run(main())
    except (CannotRunError, TimeoutError, OSError) as exc:
        print(f'cannot run: {exc!r}', file=sys.stderr)
        code = 2
    sys.exit(code)


def _free_network():
    """Return the first two bytes of loopback addresses nobody listens at."""
    for _ in range(50):
        network = f'127.{random.randrange(60, 250)}'
        if all(
            _is_free(f'{network}.{part}.1', port)
            for part, port in ((1, 8640), (2, 8104), (2, METRICS_PORT), (3, 8102))
        ):
            return network
    raise CannotRunError('no free loopback addresses')


def _is_free(host, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
