"""Classification of replica responses as answers, failures or refusals."""

from http import HTTPStatus
from typing import Final

from crocusroad_core.discovery import ReplicaNotice, parse_notice
from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._platform_protocol import HeaderNames

_NOT_RUN: Final[dict[int, FailureReason]] = {
    HTTPStatus.SERVICE_UNAVAILABLE: FailureReason.shed,
    HTTPStatus.TOO_MANY_REQUESTS: FailureReason.shed,
}
SUCCESS_STATUSES: Final = range(200, 300)


def check_response(
    response: Response,
    header_names: HeaderNames,
    *,
    must_be_success: bool,
) -> FailureReason | None:
    """Return why a response is not an answer; None if it is one.

    An error of the replica itself counts as an answer and is forwarded, unless
    `must_be_success` is set. Then the request is first retried elsewhere.
    """
    refusal = _refusal(response, header_names)
    if refusal is not None:
        return refusal
    if response.header(b'content-encoding') is not None:
        return FailureReason.garbled
    if response.status in SUCCESS_STATUSES:
        is_signed = response.header(header_names.signature) is not None
        return None if is_signed else FailureReason.garbled
    return _error_reason(response.status) if must_be_success else None


def _refusal(
    response: Response,
    header_names: HeaderNames,
) -> FailureReason | None:
    """Return why a replica did not run the request; None if it may have."""
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return FailureReason.not_here
    if response.header(header_names.not_run) is None:
        return None
    return _NOT_RUN.get(response.status, FailureReason.rejected)


def _error_reason(status: int) -> FailureReason:
    if status == HTTPStatus.GATEWAY_TIMEOUT:
        return FailureReason.cancelled
    return FailureReason.failed


def read_notice(
    response: Response, header_names: HeaderNames
) -> ReplicaNotice | None:
    """Return what a response says of its replica; None: nothing."""
    leaving = response.header(header_names.leaving) or b''
    retry_after = response.header(b'retry-after') or b''
    if not leaving and not retry_after:
        return None
    return parse_notice(
        response.status,
        leaving.decode('latin-1'),
        retry_after.decode('latin-1'),
    )


def parse_load(response: Response, header_names: HeaderNames) -> float | None:
    """Return the replica's reported number of requests per slot.

    Return None if the report is missing or malformed.
    """
    value = response.header(header_names.load)
    if value is None:
        return None
    try:
        running, waiting, slots = (int(field) for field in value.split(b','))
    except ValueError:
        return None  # a malformed report is ignored until the next one
    return (running + waiting) / max(1, slots)
