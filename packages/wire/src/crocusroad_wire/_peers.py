"""Messages between nodes, coded as MessagePack arrays."""

from typing import Annotated, NamedTuple, TypeVar

import msgspec

T = TypeVar('T')

PEER_VERSION = 1

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
Text = Annotated[str, msgspec.Meta(max_length=64)]

_encoder = msgspec.msgpack.Encoder()


class MemberUpdate(NamedTuple):
    """What one node holds about a member."""

    name: Name
    incarnation: Count  # start of the node, Unix time in milliseconds
    beat: Count  # raised by the member itself to refute a suspicion
    state: Annotated[
        int, msgspec.Meta(ge=0, le=3)
    ]  # a MemberState of the decision package
    address: Text = ''  # host:port of its peers' channel; empty: not said
    zone: Text = ''


class Heartbeat(NamedTuple):
    """A probe, its answer or a notice; they differ by the frame's kind."""

    sender: MemberUpdate
    position: Count  # of the configuration in force on the sender
    updates: tuple[MemberUpdate, ...] = ()
    probe_target: Text = ''  # address that an indirect probe asks about


class PullRequest(NamedTuple):
    """Asks for the configuration after a position."""

    after: Count


class PullAnswer(NamedTuple):
    """The configuration after the position asked for."""

    position: Count
    payload: bytes


class Publication(NamedTuple):
    """A report for each member whose key lies in a range."""

    topic: Name
    report_id: Name
    low: Count  # first key of the range
    high: Count  # first key after the range
    expires_at: float  # Unix time in seconds
    payload: bytes


class Receipt(NamedTuple):
    """How many nodes acknowledged a publication, the sender included."""

    nodes: Count


class PeerFrame(NamedTuple):
    """The envelope of each message between nodes; its tag goes before it."""

    version: int
    cluster: Text
    kind: Text
    sender: Name
    incarnation: Count
    serial: Count  # rises with each frame of an incarnation
    reply_to: Count  # of an answer: the serial of its request; else 0
    sent_at: float  # Unix time in seconds
    body: bytes


def encode_peer(message: object) -> bytes:
    """Return the MessagePack bytes of a message between nodes."""
    return _encoder.encode(message)


def decode_peer(kind: type[T], raw: bytes) -> T:
    """Return the message of type `kind` that `raw` holds.

    Raises:
        DecodeError: `raw` is not MessagePack or does not match `kind`.
    """
    return msgspec.msgpack.decode(raw, type=kind)
