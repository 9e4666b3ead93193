"""Metrics of the communication between nodes."""

from prometheus_client import Counter, Gauge

PEER_EXCHANGES = Counter(
    'crocusroad_peer_exchanges',
    'Requests to peers by kind and outcome.',
    ['kind', 'outcome'],
)
PEER_FRAMES_DROPPED = Counter(
    'crocusroad_peer_frames_dropped',
    'Frames dropped on the peer channel, by reason.',
    ['reason'],
)
PEER_BYTES = Counter(
    'crocusroad_peer_bytes',
    'Bytes of frames on the peer channel, by direction.',
    ['direction'],
)
PEER_REPORTS = Counter(
    'crocusroad_peer_reports',
    'Reports between peers by topic and outcome.',
    ['topic', 'outcome'],
)
PEER_MEMBERS = Gauge(
    'crocusroad_peer_members',
    'Members that this node knows, by state.',
    ['state'],
)
PEER_LAGGING = Gauge(
    'crocusroad_peer_lagging',
    'Members whose configuration is behind that of this node.',
)
