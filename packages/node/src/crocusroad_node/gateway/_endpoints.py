"""Endpoints of the instance itself: readiness and metrics."""

from collections.abc import Callable
from http import HTTPStatus

from prometheus_client import generate_latest

from crocusroad_node.gateway._connection import RequestHandler
from crocusroad_node.gateway._reply import (
    Reply,
    SendReply,
    error_reply,
    noop_stop,
)
from crocusroad_node.gateway._request import CallerRequest

METRICS_PATH = '/metrics'


def readiness_handler(
    path: str,
    not_ready_reason: Callable[[], str],
) -> RequestHandler:
    """Return the handler of the balancer's readiness probe.

    `not_ready_reason` returns an empty string if the instance is ready.
    """

    def handle(req: CallerRequest, send_reply: SendReply) -> Callable[[], None]:
        reason = not_ready_reason()
        if req.path != path:
            send_reply(error_reply(HTTPStatus.NOT_FOUND, 'not found'))
        elif reason:
            send_reply(error_reply(HTTPStatus.SERVICE_UNAVAILABLE, reason))
        else:
            send_reply(Reply(HTTPStatus.OK))
        return noop_stop

    return handle


def metrics_handler(refresh: Callable[[], None]) -> RequestHandler:
    """Return the handler of the Prometheus metrics endpoint.

    `refresh` sets the gauges that are not kept up to date.
    """

    def handle(req: CallerRequest, send_reply: SendReply) -> Callable[[], None]:
        if req.path == METRICS_PATH:
            refresh()
            content_type = (b'Content-Type', b'text/plain; version=0.0.4')
            send_reply(Reply(HTTPStatus.OK, (content_type,), generate_latest()))
        else:
            send_reply(error_reply(HTTPStatus.NOT_FOUND, 'not found'))
        return noop_stop

    return handle
