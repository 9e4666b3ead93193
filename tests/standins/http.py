"""Parsing and rendering of HTTP/1.1 messages for the stand-ins.

It needs no HTTP library, so that stand-ins control every byte they send.
"""

import asyncio
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit


class Request(NamedTuple):
    """A parsed request with lowercase header names."""

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
    request_line, *header_lines = head.decode('latin-1').split('\r\n')
    method, target, _ = request_line.split(' ', 2)
    headers = {}
    for line in header_lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', 0))
    body = await reader.readexactly(size) if size else b''
    url = urlsplit(target)
    query = {key: values[0] for key, values in parse_qs(url.query).items()}
    return Request(method, unquote(url.path), query, headers, body)


def render_response(status, body, headers=None):
    """Return a response as bytes, with its content length."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
