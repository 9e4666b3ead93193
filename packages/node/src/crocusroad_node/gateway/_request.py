"""Requests of callers, and the headers that are forwarded."""

from collections.abc import Callable
from typing import NamedTuple

# Hop-by-hop headers, and headers that the gateway itself generates.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)

Headers = tuple[tuple[bytes, bytes], ...]


class CallerRequest(NamedTuple):
    """A complete request of a caller."""

    method: bytes
    target: bytes  # path and query, as sent
    headers: Headers
    body: bytes
    received_at: float  # seconds, monotonic clock, of the last byte
    travel_seconds: float = 0  # that the caller waits outside this instance
    # Tells why its connection was closed, once it is.
    close_reason: Callable[[], str] = str

    @property
    def asked_at(self) -> float:
        """Return when the caller began to wait, in seconds.

        All of its waiting outside this instance counts as done before.
        """
        return self.received_at - self.travel_seconds

    @property
    def path(self) -> str:
        """Return the path without the query string."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """Return the requested host, in lower case and without a port."""
        host = self.header(b'host').decode('latin-1').lower()
        return host.partition(':')[0]

    @property
    def is_head(self) -> bool:
        """Tell whether this is a HEAD request, whose response has no body."""
        return self.method == b'HEAD'

    def header(self, name: bytes) -> bytes:
        """Return a header's value, by lower-case name; empty if missing."""
        for field, value in self.headers:
            if field.lower() == name:
                return value
        return b''


def forwarded_lines(
    headers: Headers, excluded: frozenset[bytes]
) -> list[bytes]:
    """Return the encoded lines of the headers that are forwarded.

    Hop-by-hop headers, headers listed in the Connection header and the
    `excluded` ones are left out.
    """
    listed: set[bytes] = set()
    for header, tokens in headers:
        if header.lower() == b'connection':
            listed.update(token.strip().lower() for token in tokens.split(b','))
    dropped = _HOP_BY_HOP | excluded | listed
    return [
        b'%b: %b\r\n' % (name, value)
        for name, value in headers
        if name.lower() not in dropped
    ]
