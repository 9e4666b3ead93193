"""HTTP/1.1 client over persistent connections.

Each response is matched to its request by the request id.
"""

from crocusroad_node.exchanges._call import Call, CallResult, Request
from crocusroad_node.exchanges._connection import ClientConnection
from crocusroad_node.exchanges._connection_pool import ConnectionPool
from crocusroad_node.exchanges._response import Response

__all__ = [
    'Call',
    'CallResult',
    'ClientConnection',
    'ConnectionPool',
    'Request',
    'Response',
]
