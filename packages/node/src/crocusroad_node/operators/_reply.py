"""Responses of the operator API."""

from starlette.responses import Response

from crocusroad_core.refusals import refuse
from crocusroad_node.platform import StoreFault
from crocusroad_node.web import problem_response
from crocusroad_wire import ProblemKind, encode_json

JSON_MEDIA_TYPE = 'application/json'


def json_response(message: object, revision: int | None = None) -> Response:
    """Return a message as JSON, with its revision as ETag."""
    headers = {} if revision is None else {'etag': f'"{revision}"'}
    return Response(encode_json(message), 200, headers, JSON_MEDIA_TYPE)


def fault_response(fault: StoreFault) -> Response:
    """Return the problem response for a failed read of the KV."""
    detail = f'reading from the KV failed: {fault.value}'
    kind = ProblemKind.store_unavailable
    return problem_response(refuse(kind, detail))
