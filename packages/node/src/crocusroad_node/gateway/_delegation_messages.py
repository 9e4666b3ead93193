"""Encoding of the messages between a delegating instance and a coordinator."""

from typing import Final, NamedTuple

from crocusroad_node.gateway._reply import Reply
from crocusroad_node.gateway._request import CallerRequest, forwarded_lines

DELEGATED_HEADER: Final = b'crocusroad-delegated'
CONFIRMED_HEADER: Final = b'crocusroad-confirmed'
NOT_ACCEPTED_HEADER: Final = b'crocusroad-not-accepted'
BUSY: Final = 'busy'  # reason of a refusal
US_PER_SECOND: Final = 1_000_000


class Delegation(NamedTuple):
    """The value of the delegation header."""

    version: int  # of the delegating instance's route configuration
    # Seconds that the caller has waited, plus the round trip; includes all of
    # its waiting outside the delegating instance.
    elapsed: float


def encode_delegated_request(
    req: CallerRequest, delegation: Delegation
) -> bytes:
    """Return the caller's request with the delegation header, as bytes."""
    lines = forwarded_lines(req.headers, frozenset((DELEGATED_HEADER,)))
    elapsed = int(delegation.elapsed * US_PER_SECOND)
    lines.append(
        b'%b: %d %d\r\n' % (DELEGATED_HEADER, delegation.version, elapsed)
    )
    lines.append(b'Content-Length: %d\r\n' % len(req.body))
    head = b'%b %b HTTP/1.1\r\n%b\r\n'
    return head % (req.method, req.target, b''.join(lines)) + req.body


def encode_confirmation(request_id: bytes) -> bytes:
    """Return the message that confirms a delegation to the coordinator."""
    return b'\r\n'.join(
        (
            b'POST /confirmed HTTP/1.1',
            b'Host: coordinator',
            b'%b: %b' % (CONFIRMED_HEADER, request_id),
            b'Content-Length: 0\r\n\r\n',
        ),
    )


def parse_delegation(req: CallerRequest) -> Delegation | None:
    """Return the delegation header of a request; None if it is malformed."""
    fields = req.header(DELEGATED_HEADER).split()
    if len(fields) != 2 or not all(field.isdigit() for field in fields):
        return None
    version, elapsed = (int(field) for field in fields)
    return Delegation(version, elapsed / US_PER_SECOND)


def restore_request(
    req: CallerRequest, delegation: Delegation
) -> CallerRequest:
    """Return the caller's request, as received when the caller sent it."""
    headers = (
        (name, value)
        for name, value in req.headers
        if name.lower() != DELEGATED_HEADER
    )
    return req._replace(
        headers=tuple(headers),
        received_at=req.received_at - delegation.elapsed,
        travel_seconds=0,
    )


def not_accepted_reply(reason: str) -> Reply:
    """Return the reply that refuses a delegated fan-out."""
    return Reply(503, ((NOT_ACCEPTED_HEADER, reason.encode()),))
