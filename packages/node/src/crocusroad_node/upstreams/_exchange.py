"""The exchanges with a replica over one link."""

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
    HEADER_REFUSED,
    HEADER_REQUEST_ID,
    Link,
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
PROVE_SECONDS = 0.25

Clock = Callable[[], float]

# What a replica may say of a sub-request that it did not run.
_REFUSALS: Final = frozenset(
    (
        FailureReason.shed,
        FailureReason.draining,
        FailureReason.wrong_version,
        FailureReason.not_here,
        FailureReason.rejected,
        FailureReason.cancelled,
    ),
)
_BROKEN: Final = (OSError, EOFError, ConnectionDisconnected)


async def ask(
    link: Link,
    message: UpstreamQuery,
    clock: Clock,
) -> QueryResult:
    """Run a sub-request.

    Every failure but a replica's own refusal leaves open whether the
    sub-request ran, since its bytes may have been sent.
    """
    body = encode_json(message)
    request_id = message['request_id']
    try:
        response = await link.post(PATH_QUERY, body, request_id)
    except _BROKEN:
        return Failure(FailureReason.broken)
    except Exception:  # the library's parser raises many kinds
        return Failure(FailureReason.garbled)
    link.proved_at = clock()
    outcome = await _read(response, message)
    if not isinstance(outcome, Success) and outcome.failure() in _FAULTY:
        link.close()
    return outcome


async def open_link(
    replica: Replica,
    agent: str,
    clock: Clock,
) -> Result[Link, FailureReason]:
    """Open a link and prove it by a health request."""
    link = Link(replica, agent, clock())
    try:
        async with stall_aware_timeout(OPEN_SECONDS):
            await link.get(PATH_HEALTH)
    except CONNECT_ERRORS:
        return Failure(FailureReason.connect_refused)
    except TimeoutError:
        return Failure(FailureReason.connect_timeout)
    except Exception:  # accepted, then closed or garbled
        return Failure(FailureReason.no_connection)
    link.proved_at = clock()
    return Success(link)


async def prove_link(link: Link, clock: Clock) -> bool:
    """Tell whether a health request is answered in time on an idle link."""
    outcome = await read_health(link, PROVE_SECONDS, clock)
    return isinstance(outcome, Success)


async def read_health(
    link: Link,
    timeout: float,
    clock: Clock,
) -> Result[UpstreamHealth, FailureReason]:
    """Return what the replica reports of itself."""
    try:
        async with asyncio.timeout(timeout):
            response = await link.get(PATH_HEALTH)
            body = await response.content()
            health = decode_json(UpstreamHealth, body)
    except TimeoutError:
        return Failure(FailureReason.silent)
    except Exception:  # the library's parser raises many kinds
        link.close()
        return Failure(FailureReason.broken)
    link.proved_at = clock()
    return Success(health)


async def send_cancel(link: Link, request_id: str, timeout: float) -> bool:
    """Ask a replica to stop a sub-request; tell whether it answered."""
    body = encode_json(CancelRequest(request_id=request_id))
    try:
        async with asyncio.timeout(timeout):
            response = await link.post(PATH_CANCEL, body, request_id)
    except Exception:  # the library's parser raises many kinds
        return False
    return response.status_code == STATUS_OK


_FAULTY: Final = frozenset(
    (FailureReason.crossed, FailureReason.garbled, FailureReason.broken),
)


async def _read(
    response: HttpResponse,
    message: UpstreamQuery,
) -> QueryResult:
    if response.headers.get(HEADER_REQUEST_ID) != message['request_id']:
        return Failure(FailureReason.crossed)
    if response.status_code != STATUS_OK:
        return Failure(_refusal(response))
    return _decode(await response.content(), message)


def _refusal(response: HttpResponse) -> FailureReason:
    reason = response.headers.get(HEADER_REFUSED, '')
    if reason in _REFUSALS:
        return FailureReason(reason)
    return FailureReason.broken


def _decode(body: bytes, message: UpstreamQuery) -> QueryResult:
    try:
        answer = decode_json(UpstreamAnswer, body)
    except DecodeError:
        return Failure(FailureReason.garbled)
    is_own = answer['request_id'] == message['request_id']
    if not is_own or answer['shard'] != message['shard']:
        return Failure(FailureReason.crossed)
    if answer['version'] != message['version']:
        return Failure(FailureReason.crossed)
    return Success(answer)
