"""The metrics of a node's life."""

from prometheus_client import Counter

CUT_SHORT = Counter(
    'crocusroad_requests_cut_short',
    'Requests that the end of a stop answered for the upstreams.',
)
