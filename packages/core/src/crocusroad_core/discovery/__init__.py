"""Registrations of replicas, and how long a lapsed one stays in use."""

from crocusroad_core.discovery._registration import Registration
from crocusroad_core.discovery._replica_notices import (
    ReplicaNotice,
    ReplicaNotices,
    parse_notice,
)
from crocusroad_core.discovery._replica_table import ReplicaTable

__all__ = [
    'Registration',
    'ReplicaNotice',
    'ReplicaNotices',
    'ReplicaTable',
    'parse_notice',
]
