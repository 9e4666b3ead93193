"""Detection and quarantine of poison requests, which crash upstreams."""

from crocusroad_core.poison._crash_evidence import CrashEvidence
from crocusroad_core.poison._fingerprint import (
    canary_order,
    compute_fingerprint,
    suspect_upstreams,
)
from crocusroad_core.poison._guarded_query import GuardedQuery, guard_policy
from crocusroad_core.poison._tracked_run import TrackedRun
from crocusroad_core.poison._tracker import PoisonTracker
from crocusroad_core.poison._ttl_cache import TtlCache

__all__ = [
    'CrashEvidence',
    'GuardedQuery',
    'PoisonTracker',
    'TrackedRun',
    'TtlCache',
    'canary_order',
    'compute_fingerprint',
    'guard_policy',
    'suspect_upstreams',
]
