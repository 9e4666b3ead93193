"""Calls to the operators' interface of a node."""

from typing import NamedTuple

from aiosonic import HTTPClient, HttpResponse
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

CALL_SECONDS = 15.0

# The errors by which a call can end without an answer.
CALL_ERRORS = (OSError, EOFError, ValueError, AiosonicError)


class Call(NamedTuple):
    """One call to a node."""

    server: str
    token: str
    method: str
    path: str
    body: bytes = b''
    revision: int = 0


class Reply(NamedTuple):
    """What a node answered."""

    status: int
    body: bytes


async def exchange(call: Call) -> Result[Reply, str]:
    """Return the reply to a call, or why there was none."""
    try:
        response = await open_call(HTTPClient(), call, CALL_SECONDS)
        body = await response.content()
    except CALL_ERRORS as exc:
        return Failure(f'{type(exc).__name__}: {exc}')
    return Success(Reply(response.status_code, body))


async def open_call(
    client: HTTPClient,
    call: Call,
    seconds: float | None,
) -> HttpResponse:
    """Send a call and return the response before its body is read."""
    return await client.request(
        call.server.rstrip('/') + call.path,
        method=call.method,
        headers={
            'authorization': f'Bearer {call.token}',
            'content-type': 'application/json',
            'if-match': str(call.revision),
        },
        data=call.body,
        timeouts=Timeouts(CALL_SECONDS, seconds, None, seconds),
        stream=seconds is None,
    )
