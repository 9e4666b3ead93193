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
from crocusroad_node.callers._hangup import run_unless_hung_up
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

STATUS_HUNG_UP = 499
STATUS_UNREADY = 503
HEADER_KEY = 'idempotency-key'
JSON = 'application/json'
UNCHECKED: Final = '-'  # label of a name that no operator declared
_UNFOUND: Final = frozenset(
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
    """Return the application that callers and the balancer speak to."""

    async def search(req: Request) -> Response:
        return await _search(service, req)

    async def action(req: Request) -> Response:
        return await _act(actions, req)

    async def healthz(req: Request) -> Response:
        return PlainTextResponse('ok\n')

    async def readyz(req: Request) -> Response:
        status = 200 if life.is_ready else STATUS_UNREADY
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


async def _search(service: SearchService, req: Request) -> Response:
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
    return await _run(req, call, service.search(call))


async def _act(service: ActionService, req: Request) -> Response:
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
        req.headers.get(HEADER_KEY, ''),
        body,
    )
    return await _run(req, call, service.execute(call))


async def _run(
    req: Request,
    call: SearchCall | ActionCall,
    work: Coroutine[Any, Any, Result[Answer, Refusal]],
) -> Response:
    started = time.perf_counter()
    with REQUESTS_IN_FLIGHT.track_inprogress():
        outcome = await run_unless_hung_up(req, work)
    took = time.perf_counter() - started
    front, kind = _checked_labels(call, outcome)
    REQUEST_SECONDS.labels(kind).observe(took)
    return _respond(call, outcome, front, kind)


def _checked_labels(
    call: SearchCall | ActionCall,
    outcome: Result[Answer, Refusal] | None,
) -> tuple[str, str]:
    """Return front and kind as labels; only names that were found are.

    A caller may send any name, and each label value stays for good.
    """
    if outcome is None:
        return UNCHECKED, UNCHECKED
    if not isinstance(outcome, Success) and outcome.failure().kind in _UNFOUND:
        return UNCHECKED, UNCHECKED
    return call.front, call.request['kind']


def _respond(
    call: SearchCall | ActionCall,
    outcome: Result[Answer, Refusal] | None,
    front: str,
    kind: str,
) -> Response:
    label = REQUESTS.labels
    if outcome is None:
        label(front, kind, 'hung-up').inc()
        return Response(status_code=STATUS_HUNG_UP)
    if isinstance(outcome, Success):
        label(front, kind, 'answered').inc()
        return Response(encode_json(outcome.unwrap()), media_type=JSON)
    label(front, kind, 'refused').inc()
    return problem_response(outcome.failure(), call.request_id)
