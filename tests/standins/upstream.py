"""Upstream stand-in: replicas of shards that answer over HTTP.

Run: python -m tests.standins.upstream FILE, where the JSON file lists the
settings of each replica that the process serves (see DEFAULTS).
POST /fault {"mode": "up" | "straggle" | "shed" | "drain" | ...} sets the fault;
"versions" in its body sets the index versions that are served. "service_ms" in
a query sets its service time.
"""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

import msgspec

from tests.standins.http import read_request, render_response
from tests.standins.records import (
    half_records,
    mark_version,
    search,
    shard_records,
)

DEFAULTS = {
    'zone': 'a',
    'slots': 2,
    'connections': 25,
    'connect_ms': 6.0,
    'service_ms': 4.0,
    'zone_ms': 4.0,
    'queue': 16,
    'versions': [1],
    'halves': [],  # names of the halves of a split `shard`; `half` is served
    'seed': 1,
}
STRAGGLE_FACTOR = 20.0  # times the usual service time


class Upstream:
    """One replica of one shard.

    `asked` counts queries received, `begun` those accepted, `held` those in
    progress and `ran` those completed.
    """

    def __init__(self, cfg):
        self.cfg = DEFAULTS | cfg
        self.records = load_records(self.cfg)
        self.search_cache = {}
        self.rng = random.Random(self.cfg['seed'])
        self.slots = asyncio.Semaphore(self.cfg['slots'])
        self.mode = 'up'
        self.held = 0
        self.open = 0
        self.ran = 0
        self.asked = 0
        self.begun = 0
        self.cancelled = 0
        self.actions = {}
        self.tasks = {}

    async def serve(self, reader, writer):
        if self.open >= self.cfg['connections']:
            writer.transport.abort()
            return
        self.open += 1
        try:
            await asyncio.sleep(self.cfg['connect_ms'] / 1000)
            while (req := await read_request(reader)) is not None:
                await self.answer(req, writer)
        except ConnectionError:
            pass
        finally:
            self.open -= 1
            writer.close()

    async def answer(self, req, writer):
        body = msgspec.json.decode(req.body) if req.body else {}
        route = req.path.strip('/')
        if route == 'query':
            status, headers, reply = await self.query(req, body)
        else:
            status, headers, reply = 200, {}, getattr(self, f'on_{route}')(body)
        headers['x-request-id'] = req.headers.get('x-request-id', '')
        writer.write(
            render_response(status, msgspec.json.encode(reply), headers)
        )
        await writer.drain()

    def on_fault(self, body):
        """Set the fault mode and the index versions."""
        self.mode = body.get('mode', self.mode)
        self.cfg['versions'] = body.get('versions', self.cfg['versions'])
        return {}

    def on_stats(self, body):
        return {
            'ran': self.ran,
            'asked': self.asked,
            'begun': self.begun,
            'cancelled': self.cancelled,
            'held': self.held,
            'actions': self.actions,
            'open': self.open,
        }

    def on_health(self, body):
        return {
            'healthy': True,
            'draining': self.mode == 'drain',
            'load': self.held / self.cfg['slots'],
            'versions': self.cfg['versions'],
        }

    def on_cancel(self, body):
        task = self.tasks.pop(body['request_id'], None)
        if task is not None:
            task.cancel()
        return {'cancelled': task is not None}

    async def query(self, req, body):
        """Admit a query, run it and return status, headers and answer."""
        self.asked += 1
        if self.mode in ('shed', 'drain'):
            reason = 'draining' if self.mode == 'drain' else 'shed'
            return 503, {'x-not-run': reason}, {}
        if self.held >= self.cfg['slots'] + self.cfg['queue']:
            return 503, {'x-not-run': 'shed'}, {}
        if body['expires_at'] < time.time():
            return 409, {'x-not-run': 'rejected'}, {}
        if body['version'] not in self.cfg['versions']:
            return 409, {'x-not-run': 'wrong-version'}, {}
        self.held += 1
        self.begun += 1
        if 'crash' in body['query']:
            os._exit(1)
        task = asyncio.ensure_future(self.run(req, body))
        self.tasks[body['request_id']] = task
        try:
            await asyncio.wait((task,))
        finally:
            self.held -= 1
            self.tasks.pop(body['request_id'], None)
        if task.cancelled():
            self.cancelled += 1
            return 499, {'x-not-run': 'cancelled'}, {}
        return 200, {}, task.result()

    async def run(self, req, body):
        """Run a query after the delays of the zone and of the slot queue."""
        is_remote = f'zone={self.cfg["zone"]})' not in req.headers.get(
            'user-agent', ''
        )
        if is_remote:
            await asyncio.sleep(2 * self.cfg['zone_ms'] / 1000)
        async with self.slots:
            await asyncio.sleep(self.service_seconds(body['query']))
            self.ran += 1
            if 'idempotency_key' in body:
                key = body['idempotency_key']
                self.actions[key] = self.actions.get(key, 0) + 1
        return {
            'request_id': body['request_id'],
            'shard': body['shard'],
            'version': body['version'],
            'records': mark_version(
                self.search(body['query'], body['limit']), body['version']
            ),
            'load': self.held / self.cfg['slots'],
            'versions': self.cfg['versions'],
        }

    def search(self, query, limit):
        key = (query.get('text', ''), limit)
        if key not in self.search_cache:
            self.search_cache[key] = search(self.records, query, limit)
        return self.search_cache[key]

    def service_seconds(self, query):
        """Return the service time of a query, log-normal by default."""
        if 'service_ms' in query:
            return query['service_ms'] / 1000
        mean = self.cfg['service_ms'] / 1000
        factor = STRAGGLE_FACTOR if self.mode == 'straggle' else 1.0
        return factor * mean * self.rng.lognormvariate(-0.125, 0.5)


def load_records(cfg):
    """Return the records of the shard, or of the half of it, that is served."""
    shard, shards = cfg['shard'], cfg['shards']
    if not cfg['halves']:
        return shard_records(shard, shards)
    return half_records(cfg['half'], cfg['halves'], shard, shards)


async def main(cfgs):
    async with asyncio.TaskGroup() as group:
        for cfg in cfgs:
            host, _, port = cfg['listen'].rpartition(':')
            serve = Upstream(cfg).serve
            server = await asyncio.start_server(serve, host, int(port))
            group.create_task(server.serve_forever())


if __name__ == '__main__':
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
