"""The bytes that a replica is sent for a caller's request."""

from collections.abc import Callable

from crocusroad_core.fronts import Replica
from crocusroad_node.gateway._dialect import HeaderNames
from crocusroad_node.gateway._request import CallerRequest, forwarded

MS_PER_SECOND = 1000

# Returns the bytes for a replica: (replica, deadline, now).
Encode = Callable[[Replica, float, float], bytes]


def make_encoder(req: CallerRequest, names: HeaderNames) -> Encode:
    """Return the function that encodes a request for each replica.

    What is the same for every replica is put together once.
    """
    own = frozenset((names.deadline, names.expected_replica))
    lines = forwarded(req.headers, own)
    if req.body or req.header(b'content-length'):
        lines.append(b'Content-Length: %d\r\n' % len(req.body))
    elif req.header(b'transfer-encoding'):
        lines.append(b'Content-Length: 0\r\n')
    head = b'%b %b HTTP/1.1\r\n%b%b: ' % (
        req.method,
        req.target,
        b''.join(lines),
        names.expected_replica,
    )
    middle = b'\r\n%b: ' % names.deadline
    tail = b'\r\n\r\n%b' % req.body

    def encode(replica: Replica, deadline: float, now: float) -> bytes:
        left = max(1, int((deadline - now) * MS_PER_SECOND))
        name = replica.name.encode()
        return b'%b%b%b%d%b' % (head, name, middle, left, tail)

    return encode
