"""Membership of nodes, by probes and gossip.

The view is a hint. Two nodes may have different views at any time, so
nothing may rely on their agreement.
"""

from crocusroad_core.members._config import MembershipConfig
from crocusroad_core.members._listed_node import ListedNode
from crocusroad_core.members._member import Member
from crocusroad_core.members._membership import Membership
from crocusroad_core.members._outgoing_heartbeat import (
    OutgoingHeartbeat,
    PeerKind,
)
from crocusroad_core.members._precedence import precedence_of, supersedes
from crocusroad_core.members._rate_limit import RateLimit
from crocusroad_core.members._relay_tree import (
    KEY_LIMIT,
    Branch,
    relay_key,
    split_range,
)
from crocusroad_core.members._replay_guard import FrameId, ReplayGuard
from crocusroad_core.members._state import MemberState

__all__ = [
    'KEY_LIMIT',
    'Branch',
    'FrameId',
    'ListedNode',
    'Member',
    'MemberState',
    'Membership',
    'MembershipConfig',
    'OutgoingHeartbeat',
    'PeerKind',
    'RateLimit',
    'ReplayGuard',
    'precedence_of',
    'relay_key',
    'split_range',
    'supersedes',
]
