"""The pages of an instance itself: readiness and metrics."""

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


def readiness_handler(path: str, state: Callable[[], str]) -> RequestHandler:
    """Return the handler of the balancer's question.

    `state` returns an empty text while requests may come, else why not.
    """

    def begin(req: CallerRequest, answer: SendReply) -> Callable[[], None]:
        why_not = state()
        if req.path != path:
            answer(error_reply(HTTPStatus.NOT_FOUND, 'no such page'))
        elif why_not:
            answer(error_reply(HTTPStatus.SERVICE_UNAVAILABLE, why_not))
        else:
            answer(Reply(HTTPStatus.OK))
        return noop_stop

    return begin


def metrics_handler() -> RequestHandler:
    """Return the handler of the metrics address."""

    def begin(req: CallerRequest, answer: SendReply) -> Callable[[], None]:
        if req.path == METRICS_PATH:
            text = (b'Content-Type', b'text/plain; version=0.0.4')
            answer(Reply(HTTPStatus.OK, (text,), generate_latest()))
        else:
            answer(error_reply(HTTPStatus.NOT_FOUND, 'no such page'))
        return noop_stop

    return begin
