"""HTTP responses for refused requests."""

from typing import Final

from starlette.responses import Response

from crocusroad_core.refusals import Refusal
from crocusroad_node.counters import REFUSALS
from crocusroad_wire import Problem, ProblemKind, encode_json

MEDIA_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:crocusroad:problem:'
MS_PER_SECOND = 1000

_STATUS_UNAVAILABLE = 503

STATUS_BY_KIND: Final = {
    ProblemKind.malformed: 400,
    ProblemKind.key_invalid: 400,
    ProblemKind.unauthorized: 401,
    ProblemKind.unknown_front: 404,
    ProblemKind.unknown_kind: 404,
    ProblemKind.unknown_shard: 404,
    ProblemKind.conflict: 409,
    ProblemKind.in_progress: 409,
    ProblemKind.revision_too_old: 410,
    ProblemKind.key_expired: 410,
    ProblemKind.invalid_spec: 422,
    ProblemKind.key_reused: 422,
    ProblemKind.quarantined: 422,
    ProblemKind.caller_limit: 429,
    ProblemKind.kind_limit: 429,
    ProblemKind.deadline_too_short: 504,
    ProblemKind.deadline_exceeded: 504,
    ProblemKind.outcome_unknown: 504,
    ProblemKind.write_unknown: 504,
}


def problem_response(refusal: Refusal, request_id: str = '') -> Response:
    """Return the problem document of a refusal, and count the refusal."""
    REFUSALS.labels(refusal.kind.value).inc()
    status = STATUS_BY_KIND.get(refusal.kind, _STATUS_UNAVAILABLE)
    headers = {}
    if refusal.retry_after is not None:
        headers['retry-after'] = str(max(1, round(refusal.retry_after)))
    return Response(
        encode_json(_build_document(refusal, status, request_id)),
        status,
        headers,
        MEDIA_TYPE,
    )


def _build_document(refusal: Refusal, status: int, request_id: str) -> Problem:
    document = Problem(
        type=TYPE_PREFIX + refusal.kind.value,
        title=refusal.kind.value.replace('-', ' '),
        status=status,
        detail=refusal.detail,
        kind=refusal.kind.value,
        ran=refusal.ran,
        remedy=refusal.remedy,
    )
    if request_id:
        document['request_id'] = request_id
    if refusal.retry_after is not None:
        document['retry_after_ms'] = int(refusal.retry_after * MS_PER_SECOND)
    if refusal.faults:
        document['faults'] = list(refusal.faults)
    if refusal.revision is not None:
        document['revision'] = refusal.revision
    return document
