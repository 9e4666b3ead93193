"""Replicas as they register themselves, and for how long to believe it."""

from crocusroad_core.discovery._registration import Registration
from crocusroad_core.discovery._replica_table import ReplicaTable

__all__ = ['Registration', 'ReplicaTable']
