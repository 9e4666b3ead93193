"""The HTTP application for operators."""

from collections.abc import Awaitable, Callable
from typing import cast

from returns.result import Result, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from crocusroad_core.fronts import check_spec
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.configs import FrontStore
from crocusroad_node.platform import StoreFault
from crocusroad_node.web import (
    bearer_digest,
    is_same_digest,
    problem_response,
)
from crocusroad_wire import (
    DecodeError,
    FrontSpec,
    ProblemKind,
    decode_json,
    encode_json,
)

JSON = 'application/json'
HEADER_REVISION = 'if-match'

Endpoint = Callable[[Request], Awaitable[Response]]


def build_operator_app(store: FrontStore, token_sha256: str) -> Starlette:
    """Return the application that operators speak to."""

    async def listing(req: Request) -> Response:
        fronts = await store.list()
        if isinstance(fronts, Success):
            return _json(fronts.unwrap())
        return _fault(fronts.failure())

    async def read(req: Request) -> Response:
        name = req.path_params['front']
        front = await store.read(name)
        if not isinstance(front, Success):
            return _fault(front.failure())
        if front.unwrap() is None:
            detail = f'no front {name!r}'
            return problem_response(refuse(ProblemKind.unknown_front, detail))
        return _json(front.unwrap())

    async def apply(req: Request) -> Response:
        return await _apply(store, req)

    async def delete(req: Request) -> Response:
        name = req.path_params['front']
        expected = int(req.headers.get(HEADER_REVISION, '0'))
        written = await store.delete(name, expected)
        return _written(name, written)

    def guarded(endpoint: Endpoint) -> Endpoint:
        return _guard(endpoint, token_sha256)

    return Starlette(
        routes=[
            Route('/v1/fronts', guarded(listing)),
            Route('/v1/fronts/{front}', guarded(read)),
            Route('/v1/fronts/{front}', guarded(apply), methods=['PUT']),
            Route('/v1/fronts/{front}', guarded(delete), methods=['DELETE']),
        ],
    )


def _guard(endpoint: Endpoint, token_sha256: str) -> Endpoint:
    async def guard(req: Request) -> Response:
        if is_same_digest(bearer_digest(req), token_sha256):
            return await endpoint(req)
        detail = 'the operator token is missing or wrong'
        return problem_response(refuse(ProblemKind.unauthorized, detail))

    return guard


async def _apply(store: FrontStore, req: Request) -> Response:
    name = req.path_params['front']
    try:
        raw = decode_json(dict, await req.body())
    except DecodeError as exc:
        return problem_response(refuse(ProblemKind.malformed, str(exc)))
    faults = check_spec(raw)
    if faults:
        refusal = refuse(ProblemKind.invalid_spec, f'{len(faults)} faults')
        return problem_response(refusal._replace(faults=tuple(faults)))
    spec = cast('FrontSpec', raw)
    expected = int(req.headers.get(HEADER_REVISION, '0'))
    written = await store.apply(name, spec, expected)
    return _written(name, written)


def _written(name: str, written: Result[int, Refusal]) -> Response:
    if isinstance(written, Success):
        return _json({'name': name, 'revision': written.unwrap()})
    return problem_response(written.failure())


def _json(message: object) -> Response:
    return Response(encode_json(message), media_type=JSON)


def _fault(fault: StoreFault) -> Response:
    kind = ProblemKind.store_unavailable
    return problem_response(refuse(kind, f'the KV said {fault.value!r}'))
