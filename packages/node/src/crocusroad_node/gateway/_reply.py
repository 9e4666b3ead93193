"""What a caller is answered."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._request import Headers, forwarded


class Reply(NamedTuple):
    """What a caller is answered."""

    status: int
    headers: Headers = ()
    body: bytes = b''
    must_close: bool = False


SendReply = Callable[[Reply], None]


def noop_stop() -> None:
    """Stop nothing: the request was answered at once."""


def pass_on(response: Response, internal: frozenset[bytes]) -> Reply:
    """Return a replica's response for the caller, without `internal`."""
    kept = tuple(
        (name, text)
        for name, text in response.headers
        if name.lower() not in internal
    )
    return Reply(response.status, kept, response.body)


def error_reply(
    status: int, why: str, retry_after: float | None = None
) -> Reply:
    """Return an answer of the gateway's own."""
    headers: Headers = ((b'Content-Type', b'text/plain'),)
    if retry_after is not None:
        wait = b'%.2f' % retry_after
        headers = (*headers, (b'Retry-After', wait))
    return Reply(status, headers, f'{why}\n'.encode())


def encode_reply(reply: Reply, *, closes: bool, is_head: bool) -> bytes:
    """Return the bytes of an answer."""
    lines = forwarded(reply.headers, frozenset())
    if closes:
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
