"""A small HTTP/1.1 server for the stand-ins, with the wire in its hands."""

import asyncio
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit


class Req(NamedTuple):
    method: str
    path: str
    query: dict
    headers: dict
    body: bytes


async def read_request(reader):
    """Return the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in rest:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length', 0))
    body = await reader.readexactly(size) if size else b''
    parts = urlsplit(target)
    query = {key: many[0] for key, many in parse_qs(parts.query).items()}
    return Req(method, unquote(parts.path), query, headers, body)


def render(status, body, headers=None):
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{key}: {text}' for key, text in (headers or {}).items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
