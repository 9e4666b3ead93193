"""Messages between nodes, encoded as MessagePack arrays."""

from collections.abc import Callable
from functools import partial
from typing import Annotated, NamedTuple, TypeVar

import msgspec

from crocusroad_wire._codec import raise_decode_errors

MessageT = TypeVar('MessageT')

PEER_VERSION = 1

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
Text = Annotated[str, msgspec.Meta(max_length=64)]

_encoder = msgspec.msgpack.Encoder()


class MemberUpdate(NamedTuple):
    """The state of a member as one node sees it."""

    name: Name
    incarnation: Count  # start time of the node, Unix time in milliseconds
    beat: Count  # incremented by the member to refute a suspicion
    state: Annotated[
        int, msgspec.Meta(ge=0, le=3)
    ]  # a MemberState of the core package
    address: Text = ''  # host:port of its peer channel; empty: unknown
    zone: Text = ''


class Heartbeat(NamedTuple):
    """A probe, the answer to one or a notice; the frame's kind says which."""

    sender: MemberUpdate
    position: Count  # of the configuration in force on the sender
    updates: tuple[MemberUpdate, ...] = ()
    probe_target: Text = ''  # address to check in an indirect probe


class PullRequest(NamedTuple):
    """A request for the configuration after a position."""

    after: Count


class PullAnswer(NamedTuple):
    """The configuration after the requested position."""

    position: Count
    payload: bytes


class Publication(NamedTuple):
    """A report to every member whose key lies in a range."""

    topic: Name
    report_id: Name
    low: Count  # first key of the range
    high: Count  # first key after the range
    expires_at: float  # Unix time in seconds
    payload: bytes


class Receipt(NamedTuple):
    """The number of nodes that acknowledged a publication.

    It includes the sender.
    """

    nodes: Count


class PeerFrame(NamedTuple):
    """The envelope of a message between nodes, sent after its tag."""

    version: int
    cluster: Text
    kind: Text
    sender: Name
    incarnation: Count
    serial: Count  # increases with each frame of an incarnation
    reply_to: Count  # serial of the request that it answers, or 0
    sent_at: float  # Unix time in seconds
    body: bytes


def encode_peer(message: object) -> bytes:
    """Encode a message between nodes as MessagePack bytes."""
    return _encoder.encode(message)


def decode_peer(message_type: type[MessageT], raw: bytes) -> MessageT:
    """Decode MessagePack bytes into a message of type `message_type`.

    Raises:
        DecodeError: `raw` is not MessagePack or does not match
            `message_type`.
    """
    decode: Callable[[bytes], MessageT] = partial(
        msgspec.msgpack.decode, type=message_type
    )
    return raise_decode_errors(decode)(raw)
