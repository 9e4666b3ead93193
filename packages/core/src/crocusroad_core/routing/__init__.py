"""Replica selection, hedge delays and the budget of extra load."""

from crocusroad_core.routing._extra_load_budget import ExtraLoadBudget
from crocusroad_core.routing._health_report import HealthReport
from crocusroad_core.routing._hedge_timing import HedgeTiming
from crocusroad_core.routing._latency_histogram import LatencyHistogram
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._router import Router

__all__ = [
    'ExtraLoadBudget',
    'HealthReport',
    'HedgeTiming',
    'LatencyHistogram',
    'ReplicaState',
    'Router',
]
