"""Metrics of the lifecycle of a node."""

from prometheus_client import Counter

REQUESTS_CUT_SHORT = Counter(
    'crocusroad_requests_cut_short',
    'Requests that were aborted at the end of a graceful shutdown.',
)
