"""The log line of a request."""

import logging

from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


def report(req: CallerRequest, request_id: bytes, **fields: object) -> None:
    """Log how a request ended and what decided it."""
    log_event(
        _logger,
        'request',
        id=request_id.decode('latin-1'),
        path=req.path,
        **fields,
    )
