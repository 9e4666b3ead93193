"""The channel between nodes and what passes through it.

Everything a peer says is a hint: no promise rests on it.
"""

from crocusroad_node.peers._build import build_peers, config_source
from crocusroad_node.peers._channel import Identity, PeerChannel
from crocusroad_node.peers._fault import FrameFault
from crocusroad_node.peers._frames import open_frame, seal_frame
from crocusroad_node.peers._keys import PeerKeys, parse_keys
from crocusroad_node.peers._reports import Reports
from crocusroad_node.peers._service import PeerService
from crocusroad_node.peers._source import ConfigSource

__all__ = [
    'ConfigSource',
    'FrameFault',
    'Identity',
    'PeerChannel',
    'PeerKeys',
    'PeerService',
    'Reports',
    'build_peers',
    'config_source',
    'open_frame',
    'parse_keys',
    'seal_frame',
]
