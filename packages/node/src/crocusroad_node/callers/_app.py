"""The HTTP application for callers."""

import time
import uuid
from collections.abc import Coroutine
from typing import Any, Final

from prometheus_client import generate_latest
from returns.result import Result, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.callers._disconnect import run_until_disconnect
from crocusroad_node.counters import (
    REQUEST_SECONDS,
    REQUESTS,
    REQUESTS_IN_FLIGHT,
)
from crocusroad_node.lifecycle import NodeLifecycle
from crocusroad_node.serving import (
    ActionCall,
    ActionService,
    SearchCall,
    SearchService,
)
from crocusroad_node.web import bearer_digest, problem_response
from crocusroad_wire import (
    ActionRequest,
    Answer,
    DecodeError,
    ProblemKind,
    SearchRequest,
    decode_json,
    encode_json,
)

STATUS_CLIENT_CLOSED_REQUEST = 499
STATUS_SERVICE_UNAVAILABLE = 503
HEADER_IDEMPOTENCY_KEY = 'idempotency-key'
MEDIA_TYPE_JSON = 'application/json'
LABEL_UNVERIFIED: Final = '-'  # replaces a name that was not verified
_UNVERIFIED_PROBLEMS: Final = frozenset(
    (
        ProblemKind.unknown_front,
        ProblemKind.unauthorized,
        ProblemKind.unknown_kind,
    ),
)


def build_caller_app(
    service: SearchService,
    actions: ActionService,
    life: NodeLifecycle,
) -> Starlette:
    """Return the application that serves callers and the load balancer."""

    async def search(req: Request) -> Response:
        return await _handle_search(service, req)

    async def action(req: Request) -> Response:
        return await _handle_action(actions, req)

    async def healthz(req: Request) -> Response:
        return PlainTextResponse('ok\n')

    async def readyz(req: Request) -> Response:
        status = 200 if life.is_ready else STATUS_SERVICE_UNAVAILABLE
        return PlainTextResponse(f'{life.state}\n', status)

    async def metrics(req: Request) -> Response:
        return Response(generate_latest(), media_type='text/plain')

    return Starlette(
        routes=[
            Route('/fronts/{front}/search', search, methods=['POST']),
            Route('/fronts/{front}/action', action, methods=['POST']),
            Route('/healthz', healthz),
            Route('/readyz', readyz),
            Route('/metrics', metrics),
        ],
    )


async def _handle_search(service: SearchService, req: Request) -> Response:
    request_id = uuid.uuid4().hex
    try:
        body = decode_json(SearchRequest, await req.body())
    except DecodeError as exc:
        refusal = refuse(ProblemKind.malformed, str(exc))
        return problem_response(refusal, request_id)
    call = SearchCall(
        request_id,
        req.path_params['front'],
        bearer_digest(req),
        body,
    )
    return await _serve_call(req, call, service.search(call))


async def _handle_action(service: ActionService, req: Request) -> Response:
    request_id = uuid.uuid4().hex
    try:
        body = decode_json(ActionRequest, await req.body())
    except DecodeError as exc:
        refusal = refuse(ProblemKind.malformed, str(exc))
        return problem_response(refusal, request_id)
    call = ActionCall(
        request_id,
        req.path_params['front'],
        bearer_digest(req),
        req.headers.get(HEADER_IDEMPOTENCY_KEY, ''),
        body,
    )
    return await _serve_call(req, call, service.execute(call))


async def _serve_call(
    req: Request,
    call: SearchCall | ActionCall,
    work: Coroutine[Any, Any, Result[Answer, Refusal]],
) -> Response:
    started_at = time.perf_counter()
    with REQUESTS_IN_FLIGHT.track_inprogress():
        outcome = await run_until_disconnect(req, work)
    seconds = time.perf_counter() - started_at
    front, kind = _verified_labels(call, outcome)
    REQUEST_SECONDS.labels(kind).observe(seconds)
    return _respond(call, outcome, front, kind)


def _verified_labels(
    call: SearchCall | ActionCall,
    outcome: Result[Answer, Refusal] | None,
) -> tuple[str, str]:
    """Return the front and kind of a call as metric labels.

    Names that no front declares are replaced by `LABEL_UNVERIFIED`: a caller
    may send any name, and every label value stays in memory until the process
    ends.
    """
    if outcome is None:
        return LABEL_UNVERIFIED, LABEL_UNVERIFIED
    if (
        not isinstance(outcome, Success)
        and outcome.failure().kind in _UNVERIFIED_PROBLEMS
    ):
        return LABEL_UNVERIFIED, LABEL_UNVERIFIED
    return call.front, call.request['kind']


def _respond(
    call: SearchCall | ActionCall,
    outcome: Result[Answer, Refusal] | None,
    front: str,
    kind: str,
) -> Response:
    with_labels = REQUESTS.labels
    if outcome is None:
        with_labels(front, kind, 'hung-up').inc()
        return Response(status_code=STATUS_CLIENT_CLOSED_REQUEST)
    if isinstance(outcome, Success):
        with_labels(front, kind, 'answered').inc()
        return Response(
            encode_json(outcome.unwrap()), media_type=MEDIA_TYPE_JSON
        )
    with_labels(front, kind, 'refused').inc()
    return problem_response(outcome.failure(), call.request_id)
