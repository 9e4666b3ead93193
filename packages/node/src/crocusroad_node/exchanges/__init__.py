"""HTTP/1.1 exchanges over kept connections, each answer proved its own."""

from crocusroad_node.exchanges._call import Call, Ending, Message
from crocusroad_node.exchanges._connection import Link
from crocusroad_node.exchanges._connection_pool import LinkPool
from crocusroad_node.exchanges._response import Response

__all__ = ['Call', 'Ending', 'Link', 'LinkPool', 'Message', 'Response']
