"""The ASGI application of the operator API."""

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

FRONTS_PATH = '/v1/fronts'
FRONT_PATH = '/v1/fronts/{front}'

Endpoint = Callable[[Request], Awaitable[Response]]
Handler = Callable[[OperatorContext, Request], Awaitable[Response]]


def build_operator_app(
    context: OperatorContext, token_sha256: str
) -> Starlette:
    """Return the application that serves the operator API."""

    def route(path: str, handler: Handler, method: str = 'GET') -> Route:
        endpoint = _require_token(context, handler, token_sha256)
        return Route(path, endpoint, methods=[method])

    return Starlette(
        routes=[
            route(FRONTS_PATH, list_fronts),
            route(FRONT_PATH, read_front),
            route(FRONT_PATH, apply_front, 'PUT'),
            route(FRONT_PATH, delete_front, 'DELETE'),
            route('/v1/check', check_front, 'POST'),
            route('/v1/watch', stream_changes),
            route('/v1/status', show_node),
        ],
    )


def _require_token(
    context: OperatorContext, handler: Handler, token_sha256: str
) -> Endpoint:
    async def authorized(req: Request) -> Response:
        if is_same_digest(bearer_digest(req), token_sha256):
            return await handler(context, req)
        detail = 'the operator token is missing or wrong'
        return problem_response(refuse(ProblemKind.unauthorized, detail))

    return authorized
