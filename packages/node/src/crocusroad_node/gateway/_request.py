"""A caller's request."""

from typing import NamedTuple

# Headers that concern one connection only, and those that are made anew.
_PER_CONNECTION = frozenset(
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
    """A whole request of a caller."""

    method: bytes
    target: bytes  # path and query, as sent
    headers: Headers
    body: bytes
    received_at: float  # seconds, steady clock, of its last byte

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """Return the host asked for, in lower case and without a port."""
        host = self.header(b'host').decode('latin-1').lower()
        return host.partition(':')[0]

    @property
    def is_head(self) -> bool:
        """Tell whether the answer has no body."""
        return self.method == b'HEAD'

    def header(self, name: bytes) -> bytes:
        """Return a header, given in lower case; empty if it is not there."""
        for own, text in self.headers:
            if own.lower() == name:
                return text
        return b''


def forwarded(headers: Headers, replaced: frozenset[bytes]) -> list[bytes]:
    """Return the header lines that are passed on.

    Without those that concern one connection, those that the connection
    header names, and those that are `replaced`.
    """
    named: set[bytes] = set()
    for header, words in headers:
        if header.lower() == b'connection':
            named.update(one.strip().lower() for one in words.split(b','))
    dropped = _PER_CONNECTION | replaced | named
    return [
        b'%b: %b\r\n' % (name, text)
        for name, text in headers
        if name.lower() not in dropped
    ]
