"""The gateways, replicas and store of a site, on loopback addresses."""

import json
import signal
import sys
import time
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from tests.site.replica import SiteReplica, Work
from tests.support.fleet import (
    FRONT_PORT,
    REPLICA_PORT,
    ROOT,
    Fleet,
    route,
)

RESTART_SECONDS = 0.3
IDLE_TIMEOUT_MS = 15_000


class Stop(NamedTuple):
    """A planned stop of a gateway."""

    name: str
    proc: object
    at: float  # of SIGTERM


class SiteFleet(Fleet):
    """The processes of a site; `checkout` holds the gateways' program."""

    def __init__(self, site, folder, number=0, checkout=ROOT):
        super().__init__(folder, number)
        self.site = site
        self.program = [
            sys.executable,
            str(Path(checkout) / 'deploy/gateway.py'),
        ]
        self.names = [f'g{number}' for number in range(len(site.zones))]
        self.shards = [f's{number}' for number in range(site.shard_count)]
        self.stops = []  # planned ones
        self.late_exits = []  # stops whose process had to be killed
        self.late_steps = {}  # what its log and the kernel told, by its process
        self.started_at = {}  # by process
        # Times of kills, freezes and trouble of the store.
        self.disruptions = []

    def zone(self, name):
        return self.site.zones[int(name[1:])]

    def settings(self, name):
        settings = super().settings(name)
        settings['Zone'] = self.zone(name)
        settings['Limits'] = {'LinkMbps': 1000.0, 'CpuShare': 0.537, 'Cores': 2}
        settings['Bounds'] |= {
            'GraceS': self.site.grace,
            'RetryBudgetRatio': self.site.retry_ratio,
            'RetryWindowS': self.site.retry_window,
            'RetrySlack': self.site.retry_slack,
        }
        return settings

    async def populate(self, seed=0):
        """Start the replicas and write the routes."""
        works = [
            Work(kind.prefix, kind.work_seconds) for kind in self.site.kinds
        ]
        shard_limits = (2, self.site.shard_connections)
        single_limits = (self.site.single_slots, self.site.single_connections)
        planned = [
            (shard, zone, shard_limits)
            for shard in self.shards
            for zone in self.site.replica_zones
        ]
        zones = sorted(set(self.site.zones))
        planned += [
            ('single', zones[number % len(zones)], single_limits)
            for number in range(self.site.single_replicas)
        ]
        for number, (service, zone, limits) in enumerate(planned, 1):
            name = f'i-{service}-{number}'
            replica = SiteReplica(
                name,
                service,
                (self.address(1, number), REPLICA_PORT),
                works,
                limits,
                seed * 1000 + number,
            )
            await replica.start()
            self.replicas[name] = replica
            self.register_replica(replica, zone)
        self.write_routes()

    def register_replica(self, replica, zone):
        entry = {
            'Service': replica.service,
            'Address': replica.advertised_address,
            'Zone': zone,
            'Version': 'v1',
            'Slots': replica.slots,
            'State': 'ready',
            'WarmupLeftMs': 0,
            'Seq': 1,
            'born': 1754219257000,
        }
        self.store.put(f'servers/{replica.name}', json.dumps(entry))

    def write_routes(self):
        self.version += 1
        config = {
            'Version': self.version,
            'Routes': [self._route(kind) for kind in self.site.kinds],
            'Services': [
                {
                    'Name': service,
                    'HealthPath': '/health',
                    'MaxConns': self.site.single_connections
                    if service == 'single'
                    else self.site.shard_connections,
                }
                for service in (*self.shards, 'single')
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': IDLE_TIMEOUT_MS,
            },
        }
        self.store.put('op/config', json.dumps(config))

    def _route(self, kind):
        extra = {
            'TimeoutMs': kind.deadline_ms,
            'SloMs': kind.objective_ms,
            'Priority': kind.priority,
        }
        if kind.is_fan_out:
            extra |= {
                'FanoutServices': self.shards,
                'TopK': kind.top_k,
                'MinShardRatio': kind.min_shard_ratio,
            }
        else:
            extra['Service'] = 'single'
        if not kind.is_repeatable:
            extra['Type'] = 'non_idempotent'
        return route(kind.name, kind.prefix, **extra)

    def endpoint(self, name):
        return self.host(name), FRONT_PORT

    def spawn(self, name, log=None):
        super().spawn(name, log)
        self.started_at[self.procs[name]] = time.monotonic()

    async def stop_gateway(self, name):
        """Stop a gateway as the platform does; return when it has ended."""
        proc = self.procs[name]
        stop = Stop(name, proc, time.monotonic())
        sent_at = time.time()
        self.stops.append(stop)
        proc.send_signal(signal.SIGTERM)
        try:
            await self.wait_until(
                lambda: proc.poll() is not None, self.site.grace, name
            )
        except AssertionError:
            self.late_exits.append(stop)
            self.late_steps[proc] = self._stop_steps(name, sent_at)
            if proc.poll() is not None:
                self.late_steps[proc] += ', had ended when looked at again'
            proc.kill()
            proc.wait()

    def _stop_steps(self, name, sent_at):
        """Return the seconds from SIGTERM to the events of the stop."""
        seconds = [
            (line['event'], datetime.fromisoformat(line['time']).timestamp())
            for line in self.lines(name)
            if line['event'] in ('drain', 'stop', 'exit')
        ]
        steps = [
            f'{event} +{at - sent_at:.3f}'
            for event, at in seconds
            if at > sent_at
        ]
        steps.append(f'now +{time.time() - sent_at:.3f}')
        return ', '.join(steps)

    def services_of(self, kind):
        return self.shards if kind.is_fan_out else ['single']
