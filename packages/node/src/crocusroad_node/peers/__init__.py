"""Communication between nodes: gossip, configuration pulls and reports.

Everything that a node learns from its peers is a hint. No guarantee of the
node depends on it.
"""

from crocusroad_node.peers._build import build_config_source, build_peers
from crocusroad_node.peers._channel import Identity, PeerChannel
from crocusroad_node.peers._config_source import ConfigSource
from crocusroad_node.peers._fault import FrameFault
from crocusroad_node.peers._frames import decode_frame, encode_frame
from crocusroad_node.peers._keys import PeerKeys, parse_keys
from crocusroad_node.peers._reports import ReportBroadcaster
from crocusroad_node.peers._service import PeerService

__all__ = [
    'ConfigSource',
    'FrameFault',
    'Identity',
    'PeerChannel',
    'PeerKeys',
    'PeerService',
    'ReportBroadcaster',
    'build_config_source',
    'build_peers',
    'decode_frame',
    'encode_frame',
    'parse_keys',
]
