"""A loopback server that answers by script, byte for byte."""

import asyncio
import json
from collections import Counter

from tests.standins.http import read_request, render


class ScriptedServer:
    """Answers health, cancel and query; `fault` names what it does wrong.

    `old_are_silent` makes the connections that are open when it is set
    swallow whatever comes on them.
    """

    def __init__(self):
        self.fault = 'none'
        self.seconds = 0.0
        self.seen = Counter()
        self.open = {}
        self.silent = set()
        self.most_open = 0
        self.limit = 100
        self.cancelled = {}

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *exc):
        self.server.close()
        for writer in self.open.values():
            writer.transport.abort()

    def silence_open(self):
        self.silent |= set(self.open)

    async def serve(self, reader, writer):
        if len(self.open) >= self.limit:
            writer.transport.abort()
            return
        self.seen['connections'] += 1
        number = self.seen['connections']
        self.open[number] = writer
        self.most_open = max(self.most_open, len(self.open))
        try:
            while (req := await read_request(reader)) is not None:
                if number not in self.silent:
                    await self.answer(req, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            del self.open[number]
            writer.close()

    async def answer(self, req, writer):
        self.seen[req.path] += 1
        own = req.headers.get('x-request-id', '')
        head = {'x-request-id': own}
        if req.path == '/cancel':
            event = self.cancelled.get(json.loads(req.body)['request_id'])
            if event is not None and self.fault != 'ignores-cancel':
                event.set()
            writer.write(render(200, b'{}', head))
        elif req.path == '/health':
            report = {
                'healthy': True, 'draining': False, 'load': 0, 'versions': [1]
            }  # fmt: skip
            writer.write(render(200, json.dumps(report).encode(), head))
        elif req.path == '/query':
            await self.answer_query(req, writer, head)
        else:
            await asyncio.sleep(float(req.query.get('wait', 0)))
            writer.write(render(200, req.path.encode()))
        await writer.drain()

    async def answer_query(self, req, writer, head):
        asked = json.loads(req.body)
        event = self.cancelled[asked['request_id']] = asyncio.Event()
        try:
            async with asyncio.timeout(self.seconds):
                await event.wait()
            writer.write(render(499, b'{}', head | {'x-not-run': 'cancelled'}))
            return
        except TimeoutError:
            pass
        answer = {
            'request_id': asked['request_id'],
            'shard': asked['shard'],
            'version': asked['version'],
            'records': [],
        }
        for raw in self.raw(answer, head):
            writer.write(raw)
        if self.fault in ('truncated', 'lost'):
            await writer.drain()
            writer.transport.abort()

    def raw(self, answer, head):
        whole = render(200, json.dumps(answer).encode(), head)
        other = answer | {'request_id': 'other'}
        named = {'x-request-id': 'other'}
        match self.fault:
            case 'crossed':
                return [render(200, json.dumps(other).encode(), named)]
            case 'crossed-body':
                return [render(200, json.dumps(other).encode(), head)]
            case 'other-shard':
                wrong = answer | {'shard': 'other'}
                return [render(200, json.dumps(wrong).encode(), head)]
            case 'doubled':
                return [whole, whole]
            case 'truncated':
                return [whole[:-5]]
            case 'lost':
                return []
            case 'garbled':
                return [render(200, b'{"request_id"', head)]
            case 'garbled-head':
                return [b'\x00\xff\x00 ?? \r\n\r\n']
            case 'no-body':
                return [
                    b'HTTP/1.1 200 X\r\nx-request-id: '
                    + head['x-request-id'].encode()
                    + b'\r\n\r\n'
                ]
            case 'shed' | 'draining' | 'wrong-version':
                return [render(503, b'{}', head | {'x-not-run': self.fault})]
            case 'false-refusal':
                claim = {'x-not-run': 'connect-refused'}
                return [render(503, b'{}', head | claim)]
            case 'unnamed-refusal':
                return [render(503, b'{}', {'x-not-run': 'shed'})]
        return [whole]
