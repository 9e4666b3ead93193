"""Heartbeats that the membership protocol asks to be sent."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_wire import Heartbeat


class PeerKind(StrEnum):
    """The purpose of a frame between nodes."""

    probe = 'probe'
    indirect = 'indirect'  # probe another node for the sender
    notice = 'notice'  # an update that has just occurred
    pull = 'pull'
    publish = 'publish'


class OutgoingHeartbeat(NamedTuple):
    """A heartbeat to send to a member; pass its answer to `on_answer`."""

    kind: PeerKind
    name: str
    address: str
    heartbeat: Heartbeat
    probe_target: str = ''  # of an indirect probe: the member to probe
