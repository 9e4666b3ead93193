"""The HTTP application for operators."""

from collections.abc import Awaitable, Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from crocusroad_core.refusals import refuse
from crocusroad_node.operators._context import OperatorContext
from crocusroad_node.operators._read import list_fronts, read_front, show_node
from crocusroad_node.operators._watch import stream_changes
from crocusroad_node.operators._write import (
    apply_front,
    check_front,
    delete_front,
)
from crocusroad_node.web import (
    bearer_digest,
    is_same_digest,
    problem_response,
)
from crocusroad_wire import ProblemKind

FRONTS = '/v1/fronts'
FRONT = '/v1/fronts/{front}'

Endpoint = Callable[[Request], Awaitable[Response]]
OperatorEndpoint = Callable[[OperatorContext, Request], Awaitable[Response]]


def build_operator_app(
    context: OperatorContext, token_sha256: str
) -> Starlette:
    """Return the application that operators speak to."""

    def route(path: str, call: OperatorEndpoint, method: str = 'GET') -> Route:
        endpoint = _guard(context, call, token_sha256)
        return Route(path, endpoint, methods=[method])

    return Starlette(
        routes=[
            route(FRONTS, list_fronts),
            route(FRONT, read_front),
            route(FRONT, apply_front, 'PUT'),
            route(FRONT, delete_front, 'DELETE'),
            route('/v1/check', check_front, 'POST'),
            route('/v1/watch', stream_changes),
            route('/v1/status', show_node),
        ],
    )


def _guard(
    context: OperatorContext, call: OperatorEndpoint, token_sha256: str
) -> Endpoint:
    async def guard(req: Request) -> Response:
        if is_same_digest(bearer_digest(req), token_sha256):
            return await call(context, req)
        detail = 'the operator token is missing or wrong'
        return problem_response(refuse(ProblemKind.unauthorized, detail))

    return guard
