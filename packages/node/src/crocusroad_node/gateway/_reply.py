"""Replies to callers and their encoding as HTTP responses."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._request import Headers, forwarded_lines


class Reply(NamedTuple):
    """The HTTP response to a caller."""

    status: int
    headers: Headers = ()
    body: bytes = b''
    must_close: bool = False


SendReply = Callable[[Reply], None]


def noop_stop() -> None:
    """Do nothing: the request has already been answered."""


def forward_response(response: Response, internal: frozenset[bytes]) -> Reply:
    """Return a replica's response as a reply, without `internal` headers."""
    headers = tuple(
        (name, value)
        for name, value in response.headers
        if name.lower() not in internal
    )
    return Reply(response.status, headers, response.body)


def error_reply(
    status: int, reason: str, retry_seconds: float | None = None
) -> Reply:
    """Return a reply that the gateway itself makes, with a text body."""
    headers: Headers = ((b'Content-Type', b'text/plain'),)
    if retry_seconds is not None:
        value = b'%.2f' % retry_seconds
        headers = (*headers, (b'Retry-After', value))
    return Reply(status, headers, f'{reason}\n'.encode())


def encode_reply(reply: Reply, *, is_closing: bool, is_head: bool) -> bytes:
    """Return the bytes of a reply."""
    lines = forwarded_lines(reply.headers, frozenset())
    if is_closing:
        lines.append(b'Connection: close\r\n')
    if reply.status != HTTPStatus.NO_CONTENT:
        lines.append(b'Content-Length: %d\r\n' % len(reply.body))
    head = b'HTTP/1.1 %d %b\r\n%b\r\n' % (
        reply.status,
        _phrase(reply.status),
        b''.join(lines),
    )
    return head if is_head else head + reply.body


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'
