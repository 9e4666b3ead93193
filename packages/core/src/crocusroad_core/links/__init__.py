"""Connections to replicas: the quota of each instance and silent ones."""

from crocusroad_core.links._address import parse_address
from crocusroad_core.links._connection_quota import connection_quota
from crocusroad_core.links._connection_share import connection_share
from crocusroad_core.links._recent_instances import RecentInstances
from crocusroad_core.links._silent_connections import SilentConnectionDetector

__all__ = [
    'RecentInstances',
    'SilentConnectionDetector',
    'connection_quota',
    'connection_share',
    'parse_address',
]
