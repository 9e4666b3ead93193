"""Membership of nodes: who is there, found by probes and hearsay.

The view is a hint. Two nodes may hold different views at any time, so no
promise may rest on their agreeing.
"""

from crocusroad_core.members._config import MembersConfig
from crocusroad_core.members._listed import ListedNode
from crocusroad_core.members._member import Member
from crocusroad_core.members._members import Members
from crocusroad_core.members._order import is_newer, order_of
from crocusroad_core.members._outgoing import Outgoing, PeerKind
from crocusroad_core.members._rate import RateLimit
from crocusroad_core.members._replay import FrameMark, ReplayGuard
from crocusroad_core.members._spread import (
    KEY_LIMIT,
    Branch,
    key_of,
    split_range,
)
from crocusroad_core.members._state import MemberState

__all__ = [
    'KEY_LIMIT',
    'Branch',
    'FrameMark',
    'ListedNode',
    'Member',
    'MemberState',
    'Members',
    'MembersConfig',
    'Outgoing',
    'PeerKind',
    'RateLimit',
    'ReplayGuard',
    'is_newer',
    'key_of',
    'order_of',
    'split_range',
]
