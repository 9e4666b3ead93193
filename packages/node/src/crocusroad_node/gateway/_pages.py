"""The pages of an instance itself: readiness and metrics."""

from collections.abc import Callable
from http import HTTPStatus

from prometheus_client import generate_latest

from crocusroad_node.gateway._connection import Begin
from crocusroad_node.gateway._reply import (
    Answer,
    Reply,
    nothing_to_stop,
    refuse,
)
from crocusroad_node.gateway._request import CallerRequest

METRICS_PATH = '/metrics'


def ready_page(path: str, state: Callable[[], str]) -> Begin:
    """Return the handler of the balancer's question.

    `state` returns an empty text while requests may come, else why not.
    """

    def begin(req: CallerRequest, answer: Answer) -> Callable[[], None]:
        why_not = state()
        if req.path != path:
            answer(refuse(HTTPStatus.NOT_FOUND, 'no such page'))
        elif why_not:
            answer(refuse(HTTPStatus.SERVICE_UNAVAILABLE, why_not))
        else:
            answer(Reply(HTTPStatus.OK))
        return nothing_to_stop

    return begin


def metrics_page() -> Begin:
    """Return the handler of the metrics address."""

    def begin(req: CallerRequest, answer: Answer) -> Callable[[], None]:
        if req.path == METRICS_PATH:
            text = (b'Content-Type', b'text/plain; version=0.0.4')
            answer(Reply(HTTPStatus.OK, (text,), generate_latest()))
        else:
            answer(refuse(HTTPStatus.NOT_FOUND, 'no such page'))
        return nothing_to_stop

    return begin
