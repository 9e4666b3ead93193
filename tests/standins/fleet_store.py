"""A stand-in for the users' metadata store, in memory."""

import asyncio
import base64
import json
import time
from contextlib import suppress

from tests.standins.http import read_request, render_response

LEASES = ('/-/kv-lease', '/-/kv-keep/', '/-/kv-lease-end/')


def is_limited(req):
    """Return whether a call counts towards the rate limit of reads."""
    is_read = req.path in ('/-/kv-key', '/-/kv-range', '/-/kv-watch')
    return is_read and not int(req.query.get('Serializable', 0))


def is_full_price(req):
    """Return whether a call is charged in full and not by a tenth."""
    is_renewal = req.path.startswith('/-/kv-keep/')
    return not is_renewal and not int(req.query.get('Serializable', 0))


class FleetStore:
    """Items, leases and watches; `mode` says how calls fail.

    up (they succeed), silent (no answer), reset (the connection is reset),
    busy (503) or lossy (a write is applied but its answer is lost). Callers on
    the addresses in `refused_hosts` get a reset, and reads of those in
    `limited_hosts` get 429 unless they may be stale.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.revision = 1
        self.leases = {}
        self.mode = 'up'
        self.delay = 0  # seconds until a call is answered
        self.refused_hosts = set()
        self.limited_hosts = set()
        self.calls = 0
        self.full_price_calls = []  # (host, path)
        self.watching_hosts = set()  # addresses that have called watch
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None

    async def start(self, hosts, port):
        self.server = await asyncio.start_server(self.serve, hosts, port)

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def put(self, key, value, lease=0):
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self._record_event(key, value)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._record_event(key, None)

    def compact(self):
        self.history.clear()
        self.compacted_revision = self.revision

    def set_mode(self, mode):
        self.mode = mode
        if mode == 'reset':
            for writer in tuple(self.writers):
                writer.transport.abort()

    def abort_connections(self, host):
        for writer in tuple(self.writers):
            if writer.get_extra_info('sockname')[0] == host:
                writer.transport.abort()

    def expire(self):
        now = time.monotonic()
        for lease, (_, deadline) in tuple(self.leases.items()):
            if deadline < now:
                self._end(lease)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        host = writer.get_extra_info('sockname')[0]
        try:
            while (req := await read_request(reader)) is not None:
                self.calls += 1
                if is_full_price(req):
                    self.full_price_calls.append((host, req.path))
                self.expire()
                if not await self.answer(req, writer, host):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, RuntimeError):
            pass  # RuntimeError: the connection was closed before the answer
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            with suppress(RuntimeError):  # the loop may be closed
                writer.transport.abort()

    async def answer(self, req, writer, host):
        mode = 'reset' if host in self.refused_hosts else self.mode
        if self.delay:
            await asyncio.sleep(self.delay)
        if mode == 'silent':
            await asyncio.sleep(3600)
        if mode == 'reset':
            return False
        if mode == 'busy':
            writer.write(render_response(503, b''))
            return True
        if host in self.limited_hosts and is_limited(req):
            writer.write(render_response(429, b''))
            return True
        if req.path == '/-/kv-watch':
            self.watching_hosts.add(host)
        status, body = await self.handle(req)
        if mode == 'lossy' and req.method == 'POST':
            return False
        writer.write(render_response(status, json.dumps(body).encode()))
        return True

    async def handle(self, req):
        if req.path == '/-/kv-key':
            return self._read(req.query['Key'])
        if req.path == '/-/kv-range':
            return self._range(req.query['Prefix'])
        if req.path == '/-/kv-watch':
            return await self._watch(req.query)
        if req.path == '/-/kv-txn':
            return self._txn(json.loads(req.body))
        if req.path.startswith(LEASES):
            return self._lease(req)
        return 404, {}

    def _read(self, key):
        if key not in self.items:
            return 404, {'AsOf': self.revision}
        return 200, self._item(key) | {'AsOf': self.revision}

    def _range(self, prefix):
        keys = sorted(key for key in self.items if key.startswith(prefix))
        items = [self._item(key) for key in keys]
        return 200, {'items': items, 'HasMore': False, 'AsOf': self.revision}

    async def _watch(self, query):
        prefix, after = query['Prefix'], int(query['after'])
        deadline = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            if after < self.compacted_revision:
                return 410, {}
            events = [
                event
                for revision, key, event in self.history
                if revision > after and key.startswith(prefix)
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {'events': events, 'AsOf': self.revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self.changed.wait()

    def _txn(self, body):
        for row in body['ExpectedRev']:
            revision = self.items.get(row['Key'], (None, 0, 0))[1]
            if revision != row['Revision']:
                return 412, {'items': []}
        for row in body['SetKeys']:
            lease = row.get('LeaseId', 0)
            if lease and lease not in self.leases:
                return 404, {}
            value = base64.b64decode(row['Value']).decode()
            self.put(row['Key'], value, lease)
        for key in body['Remove']:
            self.remove(key)
        return 200, {'Revision': self.revision}

    def _lease(self, req):
        if req.path == '/-/kv-lease':
            ttl = json.loads(req.body)['TtlMs']
            lease = len(self.leases) + 1000
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'LeaseId': lease, 'TtlMs': ttl}
        lease = int(req.path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        if req.method == 'DELETE':
            self._end(lease)
        else:
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {'TtlMs': ttl}

    def _end(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[2] == lease]
        for key in keys:
            self.remove(key)

    def _item(self, key):
        value, revision, lease = self.items[key]
        return {
            'Key': key,
            'Value': base64.b64encode(value.encode()).decode(),
            'Revision': revision,
            'Created': revision,
            'LeaseId': lease,
        }

    def _record_event(self, key, value):
        event = {'Key': key, 'Revision': self.revision, 'Tombstone': True}
        if value is not None:
            event = self._item(key)
        self.history.append((self.revision, key, event))
        self.changed.set()
        self.changed = asyncio.Event()
