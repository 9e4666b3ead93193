"""The log line that is written for each request."""

import logging
from collections.abc import Callable

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


def dropped_request_logger(
    request_id_header: bytes,
) -> Callable[[CallerRequest, str], None]:
    """Return a function that logs a request whose connection was closed first.

    The arguments are a request that had not begun, and the reason of the close.
    """

    def log_dropped(req: CallerRequest, reason: str) -> None:
        log_request(
            req,
            req.header(request_id_header),
            outcome='not begun' if req.method else 'not read',
            closed=reason,
        )

    return log_dropped
