"""HTTP exchanges with a replica over one connection."""

import asyncio
from collections.abc import Callable
from typing import Final

from aiosonic import HttpResponse
from aiosonic.exceptions import ConnectionDisconnected
from returns.result import Failure, Result, Success

from crocusroad_core.fronts import Replica
from crocusroad_core.gather import FailureReason
from crocusroad_node.exchange_errors import CONNECT_ERRORS
from crocusroad_node.stall_aware_timeout import stall_aware_timeout
from crocusroad_node.upstreams._connection import (
    HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
    OnAnswer,
    ReplicaConnection,
)
from crocusroad_node.upstreams._port import QueryResult
from crocusroad_wire import (
    CancelRequest,
    DecodeError,
    UpstreamAnswer,
    UpstreamHealth,
    UpstreamQuery,
    decode_json,
    encode_json,
)

PATH_QUERY = '/query'
PATH_HEALTH = '/health'
PATH_CANCEL = '/cancel'
STATUS_OK = 200
OPEN_SECONDS = 0.5
PROBE_SECONDS = 0.25

Clock = Callable[[], float]

# Reasons that a replica may give for not running a sub-request.
_NOT_RUN_REASONS: Final = frozenset(
    (
        FailureReason.shed,
        FailureReason.draining,
        FailureReason.wrong_version,
        FailureReason.not_here,
        FailureReason.rejected,
        FailureReason.cancelled,
    ),
)
_CONNECTION_ERRORS: Final = (OSError, EOFError, ConnectionDisconnected)


async def send_query(
    conn: ReplicaConnection,
    message: UpstreamQuery,
    clock: Clock,
) -> QueryResult:
    """Send a sub-request and return its answer.

    Unless the replica itself refuses it, a sub-request that fails may have
    run, since its bytes may have been sent.
    """
    body = encode_json(message)
    request_id = message['request_id']
    try:
        response = await conn.post(PATH_QUERY, body, request_id)
    except _CONNECTION_ERRORS:
        return Failure(FailureReason.broken)
    except Exception:  # the library's parser raises many types
        return Failure(FailureReason.garbled)
    conn.last_answer_at = clock()
    outcome = await _check_response(response, message)
    if (
        not isinstance(outcome, Success)
        and outcome.failure() in _CLOSING_REASONS
    ):
        conn.close()
    return outcome


async def open_connection(
    replica: Replica,
    user_agent: str,
    clock: Clock,
    on_answer: OnAnswer,
) -> Result[ReplicaConnection, FailureReason]:
    """Open a connection and check it with a health request."""
    conn = ReplicaConnection(replica, user_agent, clock(), on_answer)
    try:
        async with stall_aware_timeout(OPEN_SECONDS):
            await conn.get(PATH_HEALTH)
    except CONNECT_ERRORS:
        return Failure(FailureReason.connect_refused)
    except TimeoutError:
        return Failure(FailureReason.connect_timeout)
    except Exception:  # accepted, then closed or answered with malformed data
        return Failure(FailureReason.no_connection)
    conn.last_answer_at = clock()
    return Success(conn)


async def probe_connection(conn: ReplicaConnection, clock: Clock) -> bool:
    """Return whether a health request on an idle connection is answered.

    The answer must arrive within `PROBE_SECONDS`.
    """
    outcome = await read_health(conn, PROBE_SECONDS, clock)
    return isinstance(outcome, Success)


async def read_health(
    conn: ReplicaConnection,
    timeout: float,
    clock: Clock,
) -> Result[UpstreamHealth, FailureReason]:
    """Return the health that the replica reports, within `timeout` seconds."""
    try:
        async with asyncio.timeout(timeout):
            response = await conn.get(PATH_HEALTH)
            body = await response.content()
            health = decode_json(UpstreamHealth, body)
    except TimeoutError:
        return Failure(FailureReason.silent)
    except Exception:  # the library's parser raises many types
        conn.close()
        return Failure(FailureReason.broken)
    conn.last_answer_at = clock()
    return Success(health)


async def send_cancel(
    conn: ReplicaConnection, request_id: str, timeout: float
) -> bool:
    """Send a cancel request for a sub-request.

    Returns:
        Whether the replica confirmed it within `timeout` seconds.
    """
    body = encode_json(CancelRequest(request_id=request_id))
    try:
        async with asyncio.timeout(timeout):
            response = await conn.post(PATH_CANCEL, body, request_id)
    except Exception:  # the library's parser raises many types
        return False
    return response.status_code == STATUS_OK


_CLOSING_REASONS: Final = frozenset(
    (FailureReason.crossed, FailureReason.garbled, FailureReason.broken),
)


async def _check_response(
    response: HttpResponse,
    message: UpstreamQuery,
) -> QueryResult:
    if response.headers.get(HEADER_REQUEST_ID) != message['request_id']:
        return Failure(FailureReason.crossed)
    if response.status_code != STATUS_OK:
        return Failure(_refusal_reason(response))
    return _decode_answer(await response.content(), message)


def _refusal_reason(response: HttpResponse) -> FailureReason:
    reason = response.headers.get(HEADER_NOT_RUN, '')
    if reason in _NOT_RUN_REASONS:
        return FailureReason(reason)
    return FailureReason.broken


def _decode_answer(body: bytes, message: UpstreamQuery) -> QueryResult:
    try:
        answer = decode_json(UpstreamAnswer, body)
    except DecodeError:
        return Failure(FailureReason.garbled)
    is_same_request = answer['request_id'] == message['request_id']
    if not is_same_request or answer['shard'] != message['shard']:
        return Failure(FailureReason.crossed)
    if answer['version'] != message['version']:
        return Failure(FailureReason.crossed)
    return Success(answer)
