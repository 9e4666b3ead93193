"""The adapter towards upstreams: query, cancel, deadline, health and load.

The contract stands in docs/protocols.md; no other module knows how an
upstream is spoken to.
"""

from crocusroad_node.upstreams._client import UpstreamClient
from crocusroad_node.upstreams._health_poller import poll_health
from crocusroad_node.upstreams._instance_poller import follow_instances
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
    'Upstreams',
    'build_policies',
    'build_routed_upstreams',
    'follow_instances',
    'poll_health',
]
