"""Connections to replicas: how many, and which of them to trust."""

from crocusroad_core.links._instance_view import RecentInstances
from crocusroad_core.links._part import connection_quota
from crocusroad_core.links._silence import SilentConnectionDetector

__all__ = ['RecentInstances', 'SilentConnectionDetector', 'connection_quota']
