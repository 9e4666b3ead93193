"""The callers of a site, and the balancer in front of its gateways."""

import asyncio
import itertools
import time
from collections import deque
from random import Random

from tests.support.fleet import READY_PORT, Answer, exchange, read_answer

CALLERS_PER_ZONE = 12
PROBE_SECONDS = 1.0
CONNECT_SECONDS = 1.0
KEPT_SHARE = 0.7  # of the requests that may use a kept connection
IDLE_SECONDS = 12.0  # four fifths of the idle timeout
GIVE_UP_GRACE = 0.4  # seconds after the deadline
NOT_RUN = frozenset((408, 421, 429, 503))


class Balancer:
    """Sends callers to the gateways of their zone that are in rotation."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._misses = dict.fromkeys(fleet.names, 0)

    async def run(self):
        await asyncio.gather(*(self._probe(name) for name in self._misses))

    async def _probe(self, name):
        endpoint = (self._fleet.host(name), READY_PORT)
        raw = (
            b'GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n'
        )
        while True:
            try:
                answer = await exchange(endpoint, raw, PROBE_SECONDS)
            except TimeoutError:
                answer = Answer()
            is_hit = answer.status == 200
            self._misses[name] = 0 if is_hit else self._misses[name] + 1
            await asyncio.sleep(PROBE_SECONDS)

    def choose(self, zone, rng):
        fleet = self._fleet
        in_rotation = [name for name in fleet.names if self._misses[name] < 2]
        zone_names = [name for name in fleet.names if fleet.zone(name) == zone]
        zone_rotation = [name for name in zone_names if name in in_rotation]
        if 2 * len(zone_rotation) < len(zone_names):
            zone_rotation = zone_names if zone_rotation else in_rotation
        return rng.choice(zone_rotation or fleet.names)


class Tried:
    """A request of a caller at one gateway, and how it ended."""

    def __init__(self, request_id, kind, name, proc, *, is_kept, path=''):
        self.id = request_id
        self.path = path or f'{kind.prefix}{request_id}'
        self.kind = kind
        self.gateway = name
        self.proc = proc
        self.is_kept = is_kept
        self.sent_at = 0
        self.ended_at = 0
        self.deadline_ms = kind.deadline_ms
        self.status = 0
        # 'answer', 'closed' (before a whole answer), 'gave up' or
        # 'unconnected'
        self.end = ''


class Connection:
    """A connection of a caller to a gateway."""

    def __init__(self, name, proc, reader, writer):
        self.name, self.proc = name, proc
        self.reader, self.writer = reader, writer
        self.used_at = time.monotonic()

    @property
    def is_usable(self):
        is_closed = self.reader.at_eof() or self.writer.is_closing()
        return not is_closed and time.monotonic() - self.used_at < IDLE_SECONDS


class Callers:
    """Sends requests at the rates of the site, and records what became of them.

    `load` multiplies the rates.
    """

    def __init__(self, fleet, seed, load=1.0):
        self.tried = []
        self.load = load
        self._fleet = fleet
        self._rng = Random(seed)
        self._balancer = Balancer(fleet)
        self._ids = itertools.count(1)
        self._kept = {zone: deque() for zone in set(fleet.site.zones)}
        self._tasks = set()

    async def run(self):
        """Send requests until cancelled."""
        probes = asyncio.create_task(self._balancer.run())
        try:
            await asyncio.gather(
                *(self._send_kind(kind) for kind in self._fleet.site.kinds)
            )
        finally:
            probes.cancel()

    async def finish(self):
        """Wait for the requests that are under way."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for kept in self._kept.values():
            for conn in kept:
                conn.writer.transport.abort()

    async def send_path(self, kind, path):
        """Send a request for a path, which is not sent again."""
        zone = self._rng.choice(self._fleet.site.zones)
        deadline = time.monotonic() + kind.deadline_ms / 1000
        await self._try(kind, zone, None, deadline, path)

    async def _send_kind(self, kind):
        due = time.monotonic()
        while True:
            due += self._rng.expovariate(kind.rate * self.load)
            await asyncio.sleep(max(0, due - time.monotonic()))
            zone = self._rng.choice(self._fleet.site.zones)
            task = asyncio.create_task(self._call(kind, zone))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, kind, zone):
        """Send a request, and once more where a caller may."""
        deadline = time.monotonic() + kind.deadline_ms / 1000
        conn = self._take_kept(zone)
        tried = await self._try(kind, zone, conn, deadline)
        if not self._may_retry(tried):
            return
        left = deadline - time.monotonic()
        wait = min(tried.retry_after, left / 3)
        await asyncio.sleep(max(0, wait))
        if deadline - time.monotonic() > 0.02:
            await self._try(kind, zone, None, deadline)

    def _may_retry(self, tried):
        if tried.end == 'unconnected' or tried.status in NOT_RUN:
            return True
        is_failure = tried.end == 'closed' or tried.status >= 500
        return tried.kind.is_repeatable and is_failure

    def _take_kept(self, zone):
        kept = self._kept[zone]
        while kept:
            conn = kept.popleft()
            if conn.is_usable:
                if self._rng.random() < KEPT_SHARE:
                    return conn
                kept.append(conn)
                return None
            conn.writer.transport.abort()
        return None

    async def _connect(self, zone):
        name = self._balancer.choose(zone, self._rng)
        proc = self._fleet.procs[name]
        async with asyncio.timeout(CONNECT_SECONDS):
            streams = await asyncio.open_connection(*self._fleet.endpoint(name))
        return Connection(name, proc, *streams)

    async def _try(self, kind, zone, conn, deadline, path=''):
        request_id = f'{next(self._ids):016x}'
        is_kept = conn is not None
        tried = Tried(request_id, kind, '', None, is_kept=is_kept, path=path)
        tried.retry_after = 0
        try:
            conn = conn or await self._connect(zone)
        except (OSError, TimeoutError):
            tried.end = 'unconnected'
            return tried
        tried.gateway, tried.proc = conn.name, conn.proc
        self.tried.append(tried)
        await self._exchange(tried, conn, deadline)
        tried.ended_at = time.monotonic()
        self._keep(zone, conn, tried)
        return tried

    async def _exchange(self, tried, conn, deadline):
        left = deadline - time.monotonic()
        tried.deadline_ms = max(1, int(left * 1000))
        body = b'' if tried.kind.is_repeatable else b'sum=1'
        head = (
            f'{tried.kind.method} {tried.path} HTTP/1.1\r\n'
            'Host: pupu.example\r\n'
            f'X-Request-Id: {tried.id}\r\n'
            f'X-Request-Deadline: {tried.deadline_ms}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        try:
            async with asyncio.timeout(left + GIVE_UP_GRACE):
                conn.writer.write(head.encode() + body)
                tried.sent_at = time.monotonic()
                answer = await read_answer(conn.reader)
        except TimeoutError:
            tried.end = 'gave up'
        except (OSError, asyncio.IncompleteReadError):
            tried.end = 'closed'
        else:
            tried.end, tried.status = 'answer', answer.status
            tried.retry_after = float(answer.headers.get('retry-after', 0))
            conn.closes = answer.headers.get('connection') == 'close'

    def _keep(self, zone, conn, tried):
        conn.used_at = time.monotonic()
        if tried.end == 'answer' and not conn.closes:
            self._kept[zone].append(conn)
        else:
            conn.writer.transport.abort()
