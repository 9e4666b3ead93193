"""Messages that membership wants sent."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_wire import Heartbeat


class PeerKind(StrEnum):
    """What a frame between nodes is for."""

    probe = 'probe'
    indirect = 'indirect'  # probe another node for the sender
    notice = 'notice'  # news that came just now
    pull = 'pull'
    publish = 'publish'


class OutgoingHeartbeat(NamedTuple):
    """A heartbeat to send to a member; its answer goes to `on_answer`."""

    kind: PeerKind
    name: str
    address: str
    heartbeat: Heartbeat
    probe_target: str = ''  # of an indirect probe: the silent member
