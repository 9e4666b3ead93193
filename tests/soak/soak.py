"""One run of the soak: a fleet, callers, and a series of faults by seed."""

import asyncio
import itertools
import sys
import tempfile
import time
from random import Random

from tests.soak.faults import FAULTS
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

CALLERS = 3  # for each gateway
PAUSE_SECONDS = 0.03  # between two requests of a caller
RUN_SECONDS = 0.005  # of a replica, for one request
RETURN_SECONDS = 12  # within which a gateway is ready again


class Soak:
    def __init__(
        self,
        seed,
        gateways,
        seconds,
        planted='',
        only=(),
        run_seconds=RUN_SECONDS,
    ):
        # The series of faults alone is drawn from this one, so that a seed
        # repeats it however fast callers and faults go on.
        self.draw = Random(seed)
        self.callers_draw = Random(seed + 1)
        self.seconds = seconds
        self.run_seconds = run_seconds
        self.folder = tempfile.TemporaryDirectory()
        # A net of its own for each seed: several may run at once.
        self.fleet = Fleet(self.folder.name, number=1 + seed % 200)
        self.fleet.all_replicas = []
        if planted:
            self.fleet.program = [
                sys.executable, '-m', 'tests.soak.planted', planted
            ]  # fmt: skip
        self.names = [f'g{number}' for number in range(gateways)]
        if seed % 2:
            powers = itertools.cycle((SLOW_MACHINE, FAST_MACHINE))
            self.fleet.limits = dict(zip(self.names, powers, strict=False))
        self.promises = Promises(self.fleet)
        self.faults = [one for one in FAULTS if one.__name__ in only]
        if not only:
            # Few kinds at a time leave calm stretches for the rest.
            count = self.draw.randint(2, len(FAULTS))
            self.faults = self.draw.sample(FAULTS, count)
        self.proxies = {}
        self.draining = set()
        self.leaving = set()
        self.extra_there = False
        self.changed_at = time.monotonic()
        self.serials = itertools.count(1)
        self.is_over = False
        self.running = []  # faults

    async def run(self):
        await self.fleet.start()
        try:
            await self.play()
        finally:
            self.is_over = True
            # A fault that is under way must not start a gateway after this.
            for task in self.running:
                task.cancel()
            await asyncio.gather(*self.running, return_exceptions=True)
            await self.fleet.close()
            for proxy in self.proxies.values():
                proxy.close()
        self.promises.finish()
        return self.promises

    async def play(self):
        for service in (*SHARDS, 'single'):
            for _ in range(2):
                await self.add_replica(service)
        self.fleet.configure_base()
        await self.fleet.spawn_ready(*self.names)
        self.promises.disturb()
        callers = [
            asyncio.create_task(self.call(name))
            for name in self.names
            for _ in range(CALLERS)
        ]
        probes = [asyncio.create_task(self.probe(one)) for one in self.names]
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            fault = self.draw.choice(self.faults)
            own = Random(self.draw.random())
            self.running.append(asyncio.create_task(fault(self, own)))
            await asyncio.sleep(self.draw.uniform(0.1, 1.6))
        for done in await asyncio.gather(*self.running, return_exceptions=True):
            if isinstance(done, Exception):
                raise done
        await self.recover()
        for task in (*callers, *probes):
            task.cancel()
        await asyncio.gather(*callers, *probes, return_exceptions=True)

    async def recover(self):
        """All is well again: every gateway serves whole answers soon."""
        for replica in self.ready():
            replica.mode, replica.seconds = 'ok', self.run_seconds
        for name in self.names:
            try:
                await self.fleet.wait_until(
                    lambda one=name: self.is_whole(one), RETURN_SECONDS, name
                )
            except AssertionError:
                self.promises.fail(f'{name}: no whole answer after the faults')

    async def is_whole(self, name):
        answer = await self.fleet.ask(name, '/all/x', request_id=self.next_id())
        return answer.headers.get('x-missing-parts') == '0'

    def alive(self):
        return [
            name
            for name in self.names
            if self.fleet.procs[name].poll() is None
            and name not in self.leaving
        ]

    def ready(self):
        return [
            one
            for one in self.fleet.replicas.values()
            if one not in self.draining
        ]

    def next_id(self):
        return f'{next(self.serials):016x}'

    async def respawn(self, name):
        self.fleet.spawn(name)
        self.leaving.discard(name)
        with_time = RETURN_SECONDS + 5
        await self.fleet.wait_until(
            lambda: self.is_over or self.fleet.is_ready(name), with_time, name
        )

    async def add_replica(self, service):
        number = len(self.fleet.all_replicas) + 1
        net = self.fleet.network
        home = (f'{net}.1.{number}', REPLICA_PORT)
        front = (f'{net}.4.{number}', REPLICA_PORT)
        return await self.put_replica(service, home, front, number)

    async def take_over(self, former, service):
        """Start a replica at the address of one that is gone."""
        number = len(self.fleet.all_replicas) + 1
        front = self.proxies[former.name].home
        self.proxies.pop(former.name).close()
        await asyncio.sleep(0.1)
        await self.put_replica(service, former.endpoint, front, number)

    async def put_replica(self, service, home, front, number):
        name = f'i-{service}-{number}'
        proxy = Proxy(front, home)
        await proxy.start()
        self.proxies[name] = proxy
        return await self.fleet.add_replica(
            name,
            service,
            self.run_seconds,
            endpoint=home,
            advertised_address='{}:{}'.format(*front),
        )

    async def call(self, name):
        """Ask on kept connections until the gateway closes them."""
        while True:
            try:
                await self.call_kept(name)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)

    async def call_kept(self, name):
        home = (self.fleet.host(name), FRONT_PORT)
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(*home)
        try:
            while True:
                own = self.next_id()
                answer = await self.call_once(name, own, reader, writer)
                if answer.headers.get('connection') == 'close':
                    return
                await asyncio.sleep(PAUSE_SECONDS)
        finally:
            writer.transport.abort()

    async def call_once(self, name, own, reader, writer):
        kind = self.callers_draw.choice(['all', 'all', 'one', 'pay'])
        method = 'POST' if kind == 'pay' else 'GET'
        body = b'sum=1' if kind == 'pay' else b''
        head = (
            f'{method} /{kind}/x HTTP/1.1\r\nHost: pupu.example\r\n'
            f'X-Request-Id: {own}\r\nX-Request-Deadline: 1500\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        proc = self.fleet.procs[name]
        was_leaving = name in self.leaving
        if kind == 'pay':
            self.promises.paid.add(own)
        answer = Answer()
        try:
            async with asyncio.timeout(4):
                writer.write(head.encode() + body)
                answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            # Sent before the stop was told, so the process must answer it.
            is_planned = name in self.leaving and not was_leaving
            if is_planned and proc is self.fleet.procs[name]:
                self.promises.cut(name, own)
            raise
        finally:
            self.note(kind, own, answer)
        return answer

    def note(self, kind, own, answer):
        if kind == 'all':
            self.promises.fan_out(own, answer)
        else:
            self.promises.single(own, answer, is_paid=kind == 'pay')

    async def probe(self, name):
        """Ask for the route that comes and goes."""
        while True:
            since, is_there = self.changed_at, self.extra_there
            proc = self.fleet.procs[name]
            home = (self.fleet.host(name), FRONT_PORT)
            own = self.next_id()
            raw = (
                'GET /extra/1 HTTP/1.1\r\nHost: pupu.example\r\n'
                f'X-Request-Id: {own}\r\n\r\n'
            )
            began = time.monotonic()
            try:
                answer = await exchange(home, raw.encode(), 2)
            except TimeoutError:
                answer = Answer()
            is_same = since == self.changed_at and proc.poll() is None
            if is_same and name not in self.leaving:
                self.promises.config(
                    name,
                    answer.status,
                    is_there=is_there,
                    since=since,
                    began=began,
                )
            await asyncio.sleep(0.15)
