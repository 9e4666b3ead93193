"""The head of a request that one instance gives to another."""

from typing import Final, NamedTuple

from crocusroad_node.gateway._reply import Reply
from crocusroad_node.gateway._request import CallerRequest, forwarded

DELEGATED_HEADER: Final = b'crocusroad-delegated'
CONFIRMED_HEADER: Final = b'crocusroad-confirmed'
NOT_ACCEPTED_HEADER: Final = b'crocusroad-not-accepted'
BUSY: Final = 'busy'  # why a fan-out is not accepted
US_PER_SECOND: Final = 1_000_000


class Delegated(NamedTuple):
    """What a coordinator is told beside the caller's request."""

    version: int  # of the configuration that the giver works by
    passed: float  # seconds of the caller's time that the giver and the way use


def encode_delegated(req: CallerRequest, told: Delegated) -> bytes:
    """Return the bytes that a coordinator is sent."""
    lines = forwarded(req.headers, frozenset((DELEGATED_HEADER,)))
    passed = int(told.passed * US_PER_SECOND)
    lines.append(b'%b: %d %d\r\n' % (DELEGATED_HEADER, told.version, passed))
    lines.append(b'Content-Length: %d\r\n' % len(req.body))
    head = b'%b %b HTTP/1.1\r\n%b\r\n'
    return head % (req.method, req.target, b''.join(lines)) + req.body


def encode_confirmed(request_id: bytes) -> bytes:
    """Return what tells a coordinator that the giver relies on it."""
    return b'\r\n'.join(
        (
            b'POST /confirmed HTTP/1.1',
            b'Host: coordinator',
            b'%b: %b' % (CONFIRMED_HEADER, request_id),
            b'Content-Length: 0\r\n\r\n',
        ),
    )


def decode_delegated(req: CallerRequest) -> Delegated | None:
    """Return what the giver tells; None if it is not understood."""
    words = req.header(DELEGATED_HEADER).split()
    if len(words) != 2 or not all(one.isdigit() for one in words):
        return None
    version, passed = (int(one) for one in words)
    return Delegated(version, passed / US_PER_SECOND)


def undelegated(req: CallerRequest, told: Delegated) -> CallerRequest:
    """Return the caller's request as the giver received it."""
    kept = (
        (name, text)
        for name, text in req.headers
        if name.lower() != DELEGATED_HEADER
    )
    return req._replace(
        headers=tuple(kept),
        received_at=req.received_at - told.passed,
    )


def not_accepted(why: str) -> Reply:
    """Return the answer to a giver that has to do the fan-out itself."""
    return Reply(503, ((NOT_ACCEPTED_HEADER, why.encode()),))
