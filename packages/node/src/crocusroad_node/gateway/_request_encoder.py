"""Encodes a caller's request for replicas."""

from collections.abc import Callable

from crocusroad_core.fronts import Replica
from crocusroad_node.gateway._platform_protocol import HeaderNames
from crocusroad_node.gateway._request import CallerRequest, forwarded_lines

MS_PER_SECOND = 1000

# Encodes a request: (replica, deadline, now). Returns the bytes to send.
EncodeRequest = Callable[[Replica, float, float], bytes]


def make_encoder(
    req: CallerRequest, header_names: HeaderNames
) -> EncodeRequest:
    """Return a function that encodes the request for a replica.

    The parts that are the same for every replica are encoded only once.
    """
    excluded = frozenset((header_names.deadline, header_names.expected_replica))
    lines = forwarded_lines(req.headers, excluded)
    if req.body or req.header(b'content-length'):
        lines.append(b'Content-Length: %d\r\n' % len(req.body))
    elif req.header(b'transfer-encoding'):
        lines.append(b'Content-Length: 0\r\n')
    prefix = b'%b %b HTTP/1.1\r\n%b%b: ' % (
        req.method,
        req.target,
        b''.join(lines),
        header_names.expected_replica,
    )
    infix = b'\r\n%b: ' % header_names.deadline
    suffix = b'\r\n\r\n%b' % req.body

    def encode(replica: Replica, deadline: float, now: float) -> bytes:
        remaining_ms = max(1, int((deadline - now) * MS_PER_SECOND))
        name = replica.name.encode()
        return b'%b%b%b%d%b' % (prefix, name, infix, remaining_ms, suffix)

    return encode
