"""Choice of replicas, hedge delays and the budget of extra load."""

from crocusroad_core.routing._budget import Budget
from crocusroad_core.routing._health import HealthReport
from crocusroad_core.routing._hedge_timing import HedgeTiming
from crocusroad_core.routing._latency import LatencyTrack
from crocusroad_core.routing._replica_state import ReplicaState
from crocusroad_core.routing._router import Router

__all__ = [
    'Budget',
    'HealthReport',
    'HedgeTiming',
    'LatencyTrack',
    'ReplicaState',
    'Router',
]
