"""A replica as the users' pages describe it, on a loopback address."""

import asyncio
import time
from contextlib import suppress

from tests.standins.http import read_request, render_response

POLL_SECONDS = 0.005


class Replica:
    """A replica with slots, a short queue and a limit on its connections.

    `work` returns how many seconds a request takes, given its path. Hooks are
    called before an answer is sent (`on_answer`) and when a run begins
    (`on_run`).
    """

    def __init__(self, fleet, name, service, endpoint, work, **options):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.endpoint = endpoint
        self.work = work
        self.slots = options.get('slots', 2)
        self.queue = options.get('queue', 8)
        self.max_conns = options.get('max_conns', 26)
        self.on_answer = None  # (replica, req, status, raw, writer)
        self.on_run = None  # (replica, req)
        self.running = 0
        self.waiting = []
        self.answers = 0
        self.writers = set()
        self.server = None
        self.tasks = set()

    @property
    def address(self):
        return '{}:{}'.format(*self.endpoint)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.endpoint)

    def end(self):
        """End at once, as a process that exits or crashes."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in tuple(self.tasks):
            task.cancel()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.running = 0
        self.waiting.clear()

    async def _serve(self, reader, writer):
        if len(self.writers) >= self.max_conns:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if not await self._answer(req, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            with suppress(RuntimeError):
                writer.transport.abort()

    async def _answer(self, req, reader, writer):
        request_id = req.headers.get('x-request-id', '')
        if req.path == '/health':
            self._send(req, writer, 200, b'')
            return True
        expected = req.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            self.fleet.record('reject', self.name, 421, request_id, req.path)
            self._send(req, writer, 421, b'', is_run=False)
            return True
        if not request_id:
            self._send(req, writer, 400, b'', is_run=False)
            return True
        deadline_ms = int(req.headers.get('x-request-deadline', 60_000))
        deadline = time.monotonic() + deadline_ms / 1000
        if self.running >= self.slots and len(self.waiting) >= self.queue:
            self.fleet.record('reject', self.name, 503, request_id, req.path)
            self._send(req, writer, 503, b'', is_run=False)
            return True
        outcome = await self._wait_for_slot(reader, writer, deadline)
        if outcome == 'left':
            return False
        if outcome == 'late':
            self.fleet.record('reject', self.name, 503, request_id, req.path)
            self._send(req, writer, 503, b'', is_run=False)
            return True
        return await self._run(req, reader, writer, deadline)

    async def _wait_for_slot(self, reader, writer, deadline):
        ticket = object()
        self.waiting.append(ticket)
        try:
            while self.running >= self.slots or self.waiting[0] is not ticket:
                if _has_left(reader, writer):
                    return 'left'
                if time.monotonic() > deadline:
                    return 'late'
                await asyncio.sleep(POLL_SECONDS)
            self.running += 1
        finally:
            if ticket in self.waiting:
                self.waiting.remove(ticket)
        return 'runs'

    async def _run(self, req, reader, writer, deadline):
        request_id = req.headers['x-request-id']
        started = time.monotonic()
        self.fleet.on_run(self, req)
        try:
            if self.on_run is not None:
                self.on_run(self, req)
            end = started + self.work(req.path)
            while time.monotonic() < end:
                if _has_left(reader, writer):
                    self.fleet.record('dropped', self.name, request_id)
                    return False
                if time.monotonic() > deadline:
                    self._send(req, writer, 504, b'')
                    return True
                await asyncio.sleep(min(0.01, end - started))
        finally:
            self.running = max(0, self.running - 1)
        self._send(req, writer, 200, f'{self.name} ran {req.path}\n'.encode())
        return True

    def _send(self, req, writer, status, body, *, is_run=True):
        request_id = req.headers.get('x-request-id', '')
        headers = {
            'X-Request-Id': request_id,
            'X-Instance-Id': self.name,
            'X-Server-Load': f'{self.running},{len(self.waiting)},{self.slots}',
        }
        if is_run:
            headers['X-Response-Stamp'] = f'{self.name}.{request_id}.{status}'
        else:
            headers['X-Not-Executed'] = '1'
        raw = render_response(status, body, headers)
        self.answers += 1
        writer.write(raw)
        if self.on_answer is not None:
            self.on_answer(self, req, status, raw, writer)


def _has_left(reader, writer):
    return (
        reader.at_eof()
        or reader.exception() is not None
        or writer.is_closing()
    )
