"""The gateway: forwards callers' HTTP requests to replicas or shards."""

from crocusroad_node.gateway._fleet_membership import FleetKeyValue
from crocusroad_node.gateway._platform_protocol import (
    HeaderNames,
    PlatformProtocol,
)
from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.gateway._store_http_client import StoreHttpClient

__all__ = [
    'CallerRequest',
    'FleetKeyValue',
    'HeaderNames',
    'PlatformProtocol',
    'StoreHttpClient',
]
