"""Adapter for upstreams: queries, cancellation, deadlines, health and load.

The protocol is specified in docs/protocols.md. Other packages do not
depend on its details.
"""

from crocusroad_node.upstreams._client import UpstreamClient
from crocusroad_node.upstreams._health_poller import poll_health
from crocusroad_node.upstreams._instance_poller import poll_instances
from crocusroad_node.upstreams._notices import UpstreamNotices
from crocusroad_node.upstreams._observed import ObservedUpstreams
from crocusroad_node.upstreams._policies import build_policies
from crocusroad_node.upstreams._port import QueryResult, Upstreams
from crocusroad_node.upstreams._routed import (
    RoutedUpstreams,
    build_routed_upstreams,
)

__all__ = [
    'ObservedUpstreams',
    'QueryResult',
    'RoutedUpstreams',
    'UpstreamClient',
    'UpstreamNotices',
    'Upstreams',
    'build_policies',
    'build_routed_upstreams',
    'poll_health',
    'poll_instances',
]
