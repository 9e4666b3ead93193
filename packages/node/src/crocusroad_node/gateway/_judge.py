"""Whether a replica's response is an answer, a failure or a refusal."""

from http import HTTPStatus
from typing import Final

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges import Response
from crocusroad_node.gateway._dialect import HeaderNames

_NOT_RUN: Final = {
    HTTPStatus.MISDIRECTED_REQUEST: FailureReason.not_here,
    HTTPStatus.SERVICE_UNAVAILABLE: FailureReason.shed,
    HTTPStatus.TOO_MANY_REQUESTS: FailureReason.shed,
}
SUCCESS: Final = range(200, 300)


def judge(
    response: Response,
    names: HeaderNames,
    *,
    must_be_success: bool,
) -> FailureReason | None:
    """Return why a response is no answer; None if it is one.

    Where a failure of the replica's own may be passed on it is an answer,
    unless the request is repeated elsewhere first.
    """
    if response.header(names.not_run) is not None:
        return _NOT_RUN.get(HTTPStatus(response.status), FailureReason.rejected)
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return FailureReason.not_here
    if response.header(b'content-encoding') is not None:
        return FailureReason.garbled
    if response.status in SUCCESS:
        if response.header(names.signature) is None:
            return FailureReason.garbled
        return None
    if not must_be_success:
        return None
    if response.status == HTTPStatus.GATEWAY_TIMEOUT:
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
