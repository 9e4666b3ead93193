"""The adapter towards upstreams: query, cancel, deadline, health and load.

The contract stands in docs/protocols.md; no other module knows how an
upstream is spoken to.
"""

from crocusroad_node.upstreams._client import UpstreamClient
from crocusroad_node.upstreams._port import QueryResult, Upstreams

__all__ = ['QueryResult', 'UpstreamClient', 'Upstreams']
