"""Whether a replica's response is an answer, a failure or a refusal."""

from http import HTTPStatus
from typing import Final

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._dialect import HeaderNames

_NOT_RUN: Final[dict[int, FailureReason]] = {
    HTTPStatus.SERVICE_UNAVAILABLE: FailureReason.shed,
    HTTPStatus.TOO_MANY_REQUESTS: FailureReason.shed,
}
SUCCESS: Final = range(200, 300)


def check_response(
    response: Response,
    names: HeaderNames,
    *,
    must_be_success: bool,
) -> FailureReason | None:
    """Return why a response is no answer; None if it is one.

    Where a failure of the replica's own may be passed on it is an answer,
    unless the request is repeated elsewhere first.
    """
    refusal = _refusal(response, names)
    if refusal is not None:
        return refusal
    if response.header(b'content-encoding') is not None:
        return FailureReason.garbled
    if response.status in SUCCESS:
        is_signed = response.header(names.signature) is not None
        return None if is_signed else FailureReason.garbled
    return _own_failure(response.status) if must_be_success else None


def _refusal(
    response: Response,
    names: HeaderNames,
) -> FailureReason | None:
    """Return why a replica did not run the request; None if it may have."""
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return FailureReason.not_here
    if response.header(names.not_run) is None:
        return None
    return _NOT_RUN.get(response.status, FailureReason.rejected)


def _own_failure(status: int) -> FailureReason:
    if status == HTTPStatus.GATEWAY_TIMEOUT:
        return FailureReason.cancelled
    return FailureReason.failed


def read_load(response: Response, names: HeaderNames) -> float | None:
    """Return requests held over slots, as the replica reports it."""
    text = response.header(names.load)
    if text is None:
        return None
    try:
        running, waiting, slots = (int(one) for one in text.split(b','))
    except ValueError:
        return None  # an odd report says nothing; the next one will do
    return (running + waiting) / max(1, slots)
