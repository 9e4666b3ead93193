"""The log line that is written for each request."""

import logging

from crocusroad_node.gateway._request import CallerRequest
from crocusroad_node.logs import log_event

_logger = logging.getLogger(__name__)


def log_request(
    req: CallerRequest, request_id: bytes, **fields: object
) -> None:
    """Log the outcome of a request, with its ID, path and further fields."""
    log_event(
        _logger,
        'request',
        id=request_id.decode('latin-1'),
        path=req.path,
        **fields,
    )
