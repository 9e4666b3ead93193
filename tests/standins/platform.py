"""The platform as a process: KV and instance list over HTTP.

Run: python -m tests.standins.platform HOST:PORT
Faults by POST /fault {"mode": "up" | "down" | "kv-down" | "slow" |
"lose-replies"}; "kv-down" leaves the instance list up.
"""

import asyncio
import json
import sys
import time

from tests.standins.http import read_request, render
from tests.standins.store import Store

SLOW_SECONDS = 1.5


class Platform:
    def __init__(self):
        self.store = Store()
        self.instances = []
        self.mode = 'up'
        self.changed = asyncio.Condition()

    async def serve(self, reader, writer):
        while (req := await read_request(reader)) is not None:
            admin = req.path in ('/fault', '/stats')
            if self.is_cut(req.path) and not admin:
                break
            if self.mode == 'slow' and not admin:
                await asyncio.sleep(SLOW_SECONDS)
            status, body = await self.answer(req)
            if self.mode == 'lose-replies' and not admin:
                break
            raw = json.dumps(body).encode()
            kind = {'content-type': 'application/json'}
            writer.write(render(status, raw, kind))
            try:
                await writer.drain()
            except ConnectionError:
                break
        writer.close()

    def is_cut(self, path):
        if self.mode == 'kv-down':
            return path != '/instances'
        return self.mode == 'down'

    async def answer(self, req):
        now = time.monotonic()
        body = json.loads(req.body) if req.body else {}
        if req.path == '/fault':
            self.mode = body['mode']
            return 200, {}
        if req.path == '/stats':
            calls, writes = self.store.calls, self.store.writes
            return 200, {'calls': calls, 'writes': writes}
        if req.path == '/instances':
            if req.method == 'PUT':
                self.instances = body
            return 200, self.instances
        self.store.calls += 1
        return await self.answer_kv(req, body, now)

    async def answer_kv(self, req, body, now):
        if req.path == '/list':
            return 200, self.store.list(req.query['prefix'], now)
        if req.path == '/watch':
            return await self.watch(req)
        if req.path == '/leases':
            return 200, {'lease': self.store.grant(body['ttl'], now)}
        if req.path.startswith('/leases/'):
            kept = self.store.renew(req.path[len('/leases/') :], now)
            return (200, {}) if kept else (404, {})
        key = req.path[len('/kv/') :]
        if req.method == 'GET':
            return 200, self.store.read(key, now) or {}
        status, revision = self.store.swap(
            key, body['value'], body['expected'], body.get('lease', ''), now
        )
        async with self.changed:
            self.changed.notify_all()
        return status, {'revision': revision}

    async def watch(self, req):
        prefix, after = req.query['prefix'], int(req.query['after'])
        end = time.monotonic() + float(req.query['wait'])
        while True:
            found = self.store.changes(prefix, after, time.monotonic())
            if found is None:
                return 410, {}
            left = end - time.monotonic()
            if found['entries'] or left <= 0:
                return 200, found
            try:
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue


async def main(listen):
    host, _, port = listen.rpartition(':')
    server = await asyncio.start_server(Platform().serve, host, int(port))
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
