"""One soak run: a fleet, its callers and a seeded series of faults."""

import asyncio
import itertools
import sys
import tempfile
import time
from random import Random

from tests.soak.faults import FAULTS, NOTICE_FAULTS
from tests.soak.notices import NoticeJudge
from tests.soak.promises import Promises
from tests.soak.proxy import Proxy
from tests.support.fleet import (
    FAST_MACHINE,
    FRONT_PORT,
    REPLICA_PORT,
    SHARDS,
    SLOW_MACHINE,
    Answer,
    Fleet,
    exchange,
    read_answer,
)

CALLERS_PER_GATEWAY = 3
CALLER_PAUSE_SECONDS = 0.03  # between requests
REPLICA_RUN_SECONDS = 0.005  # per request
RECOVERY_SECONDS = 12  # limit until a gateway is ready again


class Soak:
    """A fleet under load and faults; the same seed injects the same series.

    `planted` names a fault planted in the gateways; `fault_names` restricts the
    kinds of faults that are injected.
    """

    def __init__(
        self,
        seed,
        gateway_count,
        seconds,
        planted='',
        fault_names=(),
        run_seconds=REPLICA_RUN_SECONDS,
    ):
        # Used only for the series of faults, so that a seed repeats it
        # regardless of the timing of callers and faults.
        self.rng = Random(seed)
        self.callers_rng = Random(seed + 1)
        self.notices_rng = Random(seed + 2)
        self.seconds = seconds
        self.run_seconds = run_seconds
        self.folder = tempfile.TemporaryDirectory()
        # Each seed has its own address range, so that several runs can
        # proceed at once.
        self.fleet = Fleet(self.folder.name, number=1 + seed % 200)
        self.fleet.all_replicas = []
        if planted:
            self.fleet.program = [
                sys.executable, '-m', 'tests.soak.planted', planted
            ]  # fmt: skip
        self.gateway_names = [f'g{number}' for number in range(gateway_count)]
        if seed % 2:
            machines = itertools.cycle((SLOW_MACHINE, FAST_MACHINE))
            self.fleet.limits = dict(
                zip(self.gateway_names, machines, strict=False)
            )
        # Among unequal machines, another gateway may send a fan-out.
        self.may_delegate = gateway_count > 1 and bool(self.fleet.limits)
        self.promises = Promises(self.fleet)
        self.notices = NoticeJudge(self.fleet)
        self.faults = [
            fault
            for fault in (*FAULTS, *NOTICE_FAULTS)
            if fault.__name__ in fault_names
        ]
        self.has_notice_series = not fault_names
        if not fault_names:
            # Few kinds at a time leave calm periods, in which time limits
            # can be checked.
            count = self.rng.randint(2, len(FAULTS))
            self.faults = self.rng.sample(FAULTS, count)
        self.proxies = {}
        self.draining = set()
        self.leaving = set()
        self.has_extra_route = False
        self.route_changed_at = time.monotonic()
        self.request_numbers = itertools.count(1)
        self.replica_numbers = itertools.count(1)  # each has an address
        self.is_over = False
        self.fault_tasks = []

    async def run(self):
        """Run the soak and return its checked promises."""
        await self.fleet.start()
        try:
            await self.inject_faults()
        finally:
            self.is_over = True
            # A fault in progress must not start a gateway after the run.
            for task in self.fault_tasks:
                task.cancel()
            await asyncio.gather(*self.fault_tasks, return_exceptions=True)
            await self.fleet.close()
            for proxy in self.proxies.values():
                proxy.close()
        self.promises.check_runs()
        for message in self.notices.broken():
            self.promises.fail(message)
        return self.promises

    async def inject_faults(self):
        """Start the fleet and its callers and inject faults under load."""
        for service in (*SHARDS, 'single'):
            for _ in range(2):
                await self.add_replica(service)
        self.fleet.configure_base()
        await self.fleet.spawn_ready(*self.gateway_names)
        self.promises.note_disruption()
        callers = [
            asyncio.create_task(self.run_caller(name))
            for name in self.gateway_names
            for _ in range(CALLERS_PER_GATEWAY)
        ]
        probes = [
            asyncio.create_task(self.probe_extra_route(name))
            for name in self.gateway_names
        ]
        end = time.monotonic() + self.seconds
        if self.has_notice_series:
            self.fault_tasks.append(
                asyncio.create_task(self.inject_notices(end))
            )
        while time.monotonic() < end:
            fault = self.rng.choice(self.faults)
            fault_rng = Random(self.rng.random())
            self.fault_tasks.append(asyncio.create_task(fault(self, fault_rng)))
            await asyncio.sleep(self.rng.uniform(0.1, 1.6))
        for result in await asyncio.gather(
            *self.fault_tasks, return_exceptions=True
        ):
            if isinstance(result, Exception):
                raise result
        await self.check_recovery()
        for task in (*callers, *probes):
            task.cancel()
        await asyncio.gather(*callers, *probes, return_exceptions=True)

    async def inject_notices(self, end):
        """Let replicas leave or ask for a rest, one after the other."""
        while time.monotonic() < end:
            await asyncio.sleep(self.notices_rng.uniform(0.1, 3))
            fault = self.notices_rng.choice(NOTICE_FAULTS)
            await fault(self, Random(self.notices_rng.random()))

    async def check_recovery(self):
        """End the replica faults and check that every gateway recovers."""
        for replica in self.ready_replicas():
            replica.mode, replica.seconds = 'ok', self.run_seconds
        for name in self.gateway_names:
            try:
                await self.fleet.wait_until(
                    lambda name=name: self.has_full_coverage(name),
                    RECOVERY_SECONDS,
                    name,
                )
            except AssertionError:
                self.promises.fail(
                    f'{name}: no full coverage after the faults ended'
                )

    async def has_full_coverage(self, name):
        """Return whether an answer of the gateway covers every shard."""
        answer = await self.fleet.ask(
            name, '/all/x', request_id=self.next_request_id()
        )
        return answer.headers.get('x-missing-parts') == '0'

    def running_gateways(self):
        """Return the names of the gateways that run and are not stopping."""
        return [
            name
            for name in self.gateway_names
            if self.fleet.procs[name].poll() is None
            and name not in self.leaving
        ]

    def ready_replicas(self):
        """Return the replicas that are not draining or closed."""
        return [
            replica
            for replica in self.fleet.replicas.values()
            if replica not in self.draining
        ]

    def next_request_id(self):
        return f'{next(self.request_numbers):016x}'

    async def respawn(self, name):
        """Start a gateway again and wait until it is ready."""
        self.notices.note_new_life(name)
        self.fleet.spawn(name)
        self.leaving.discard(name)
        timeout = RECOVERY_SECONDS + 5
        await self.fleet.wait_until(
            lambda: self.is_over or self.fleet.is_ready(name), timeout, name
        )

    async def add_replica(self, service):
        """Start a replica at a new address."""
        number = next(self.replica_numbers)
        endpoint = (self.fleet.address(1, number), REPLICA_PORT)
        proxy_endpoint = (self.fleet.address(4, number), REPLICA_PORT)
        return await self.start_replica(
            service, endpoint, proxy_endpoint, number
        )

    async def replace_replica(self, former, service):
        """Start a replica at the address of a closed one."""
        number = next(self.replica_numbers)
        proxy_endpoint = self.proxies[former.name].listen_endpoint
        self.proxies.pop(former.name).close()
        await asyncio.sleep(0.1)
        await self.start_replica(
            service, former.endpoint, proxy_endpoint, number
        )

    async def start_replica(self, service, endpoint, proxy_endpoint, number):
        """Start a replica and the proxy that gateways reach it through."""
        name = f'i-{service}-{number}'
        proxy = Proxy(proxy_endpoint, endpoint)
        await proxy.start()
        self.proxies[name] = proxy
        return await self.fleet.add_replica(
            name,
            service,
            self.run_seconds,
            endpoint=endpoint,
            advertised_address='{}:{}'.format(*proxy_endpoint),
        )

    async def run_caller(self, name):
        """Send requests to a gateway; reconnect when the connection ends."""
        while True:
            try:
                await self.call_on_connection(name)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)

    async def call_on_connection(self, name):
        """Send requests on one connection until the gateway closes it."""
        endpoint = (self.fleet.host(name), FRONT_PORT)
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(*endpoint)
        try:
            while True:
                request_id = self.next_request_id()
                answer = await self.send_request(
                    name, request_id, reader, writer
                )
                if answer.headers.get('connection') == 'close':
                    return
                await asyncio.sleep(CALLER_PAUSE_SECONDS)
        finally:
            writer.transport.abort()

    async def send_request(self, name, request_id, reader, writer):
        """Send a random kind of request and check its answer."""
        kind = self.callers_rng.choice(['all', 'all', 'one', 'pay'])
        method = 'POST' if kind == 'pay' else 'GET'
        body = b'sum=1' if kind == 'pay' else b''
        head = (
            f'{method} /{kind}/x HTTP/1.1\r\nHost: pupu.example\r\n'
            f'X-Request-Id: {request_id}\r\nX-Request-Deadline: 1500\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        proc = self.fleet.procs[name]
        was_leaving = name in self.leaving
        if kind == 'pay':
            self.promises.payment_ids.add(request_id)
        if kind != 'all' or not self.may_delegate:
            self.notices.note_sent(request_id, name)
        answer = Answer()
        try:
            async with asyncio.timeout(4):
                writer.write(head.encode() + body)
                answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            # Sent before SIGTERM, so the process must answer the request.
            is_planned = name in self.leaving and not was_leaving
            if is_planned and proc is self.fleet.procs[name]:
                self.promises.fail_cut_request(name, request_id)
            raise
        finally:
            self.check_answer(kind, request_id, answer)
        self.notices.note_answer(request_id, name, answer)
        return answer

    def check_answer(self, kind, request_id, answer):
        if kind == 'all':
            self.promises.check_fan_out(request_id, answer)
        else:
            self.promises.check_single(
                request_id, answer, is_payment=kind == 'pay'
            )

    async def probe_extra_route(self, name):
        """Check repeatedly whether a gateway serves the extra route."""
        while True:
            changed_at, is_present = self.route_changed_at, self.has_extra_route
            proc = self.fleet.procs[name]
            endpoint = (self.fleet.host(name), FRONT_PORT)
            request_id = self.next_request_id()
            raw = (
                'GET /extra/1 HTTP/1.1\r\nHost: pupu.example\r\n'
                f'X-Request-Id: {request_id}\r\n\r\n'
            )
            sent_at = time.monotonic()
            try:
                answer = await exchange(endpoint, raw.encode(), 2)
            except TimeoutError:
                answer = Answer()
            is_same = (
                changed_at == self.route_changed_at and proc.poll() is None
            )
            if is_same and name not in self.leaving:
                self.promises.check_config(
                    name,
                    answer.status,
                    is_present=is_present,
                    changed_at=changed_at,
                    sent_at=sent_at,
                )
            await asyncio.sleep(0.15)
