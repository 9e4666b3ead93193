"""Builds the reply to a caller from the result of its query."""

from http import HTTPStatus
from typing import Final

from crocusroad_core.gather import REASON_NO_REPLICA, Finish, Outcome
from crocusroad_core.routes import Route
from crocusroad_node.counters import REFUSALS
from crocusroad_node.gateway._delegated_request import STOPPED
from crocusroad_node.gateway._platform_protocol import HeaderNames
from crocusroad_node.gateway._query import Query
from crocusroad_node.gateway._reply import Reply, error_reply, forward_response

# Retry-After where replicas were overloaded: they have free slots again after a
# few runs.
BUSY_RETRY_SECONDS: Final = 0.1
# Retry-After where no routes or replicas are known yet.
UNKNOWN_RETRY_SECONDS: Final = 0.5


def internal_headers(header_names: HeaderNames) -> frozenset[bytes]:
    """Return the names of replicas' headers that callers do not receive."""
    return frozenset(
        (
            header_names.load,
            header_names.expected_replica,
            header_names.leaving,
        )
    )


def outcome_name(finish: Finish, *, is_stopped: bool) -> str:
    """Return the outcome of a query for logs and metrics.

    `is_stopped` tells whether the stop of this instance came before the
    deadline of the request.
    """
    if is_stopped and finish.outcome is Outcome.expired:
        return STOPPED
    return finish.outcome.value


def build_reply(
    finish: Finish,
    query: Query,
    route: Route,
    header_names: HeaderNames,
    retry_seconds: float | None = None,
) -> Reply:
    """Return the reply to a caller.

    `retry_seconds` is when it may return if the queue was too long for it.
    """
    if finish.outcome is Outcome.answered:
        if route.is_fan_out:
            return _merge_answers(finish, query, header_names)
        response = next(iter(query.answers.values()))
        return forward_response(response, internal_headers(header_names))
    if not finish.may_have_run:
        return _refusal(finish, retry_seconds)
    if query.error_response is not None and not route.is_fan_out:
        return forward_response(
            query.error_response, internal_headers(header_names)
        )
    return _failure_reply(finish.outcome)


def _refusal(finish: Finish, retry_seconds: float | None) -> Reply:
    """Return the reply to a request that has not run."""
    if retry_seconds is None:
        REFUSALS.labels('no-replica').inc()
        return error_reply(
            503, 'no replica could run the request', _retry_after(finish)
        )
    REFUSALS.labels('overloaded').inc()
    return error_reply(
        503,
        'the replicas cannot answer before the deadline',
        max(BUSY_RETRY_SECONDS, retry_seconds),
    )


def _failure_reply(outcome: Outcome) -> Reply:
    REFUSALS.labels(outcome.value).inc()
    if outcome is Outcome.expired:
        return error_reply(504, 'the replicas did not answer in time')
    return error_reply(502, 'the replicas failed to answer')


def _retry_after(finish: Finish) -> float:
    """Return the seconds after which the caller may retry."""
    reasons = {entry['reason'] for entry in finish.coverage['missing']}
    return (
        UNKNOWN_RETRY_SECONDS
        if REASON_NO_REPLICA in reasons
        else BUSY_RETRY_SECONDS
    )


def _merge_answers(
    finish: Finish, query: Query, header_names: HeaderNames
) -> Reply:
    signatures = [
        response.header(header_names.signature) or b''
        for response in query.answers.values()
    ]
    missing = finish.coverage['shards'] - len(signatures)
    headers = (
        (header_names.shard_signatures, b', '.join(signatures)),
        (header_names.missing_shards, b'%d' % missing),
    )
    return Reply(HTTPStatus.OK, headers, b''.join(finish.records))
