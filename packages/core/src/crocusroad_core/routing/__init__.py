"""Choice of replicas, hedge delays and the budget of extra load."""

from crocusroad_core.routing._budget import ExtraLoadBudget
from crocusroad_core.routing._health import HealthReport
from crocusroad_core.routing._hedge_timing import HedgeTiming
from crocusroad_core.routing._latency import LatencyHistogram
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
