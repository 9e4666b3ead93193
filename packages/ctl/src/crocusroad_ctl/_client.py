"""HTTP client of the operators' interface of a node."""

from typing import NamedTuple

from aiosonic import HTTPClient, HttpResponse, TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from crocusroad_wire.bounded_connection import BoundedConnection

CALL_TIMEOUT_SECONDS = 15.0

# Exceptions with which a call can end without a response.
CALL_ERRORS = (OSError, EOFError, ValueError, AiosonicError)


class Call(NamedTuple):
    """A call to a node."""

    server: str
    token: str
    method: str
    path: str
    body: bytes = b''
    revision: int = 0


class Reply(NamedTuple):
    """The status and body of a node's response."""

    status: int
    body: bytes


def make_client() -> HTTPClient:
    """Return a client that takes no broken response for a whole one."""
    return HTTPClient(TCPConnector(connection_cls=BoundedConnection))


async def send_call(call: Call) -> Result[Reply, str]:
    """Send a call and return its reply, or the reason why there is none."""
    try:
        response = await open_call(make_client(), call, CALL_TIMEOUT_SECONDS)
        body = await response.content()
    except CALL_ERRORS as exc:
        return Failure(f'{type(exc).__name__}: {exc}')
    return Success(Reply(response.status_code, body))


async def open_call(
    client: HTTPClient,
    call: Call,
    read_timeout: float | None,
) -> HttpResponse:
    """Send a call and return the response before its body is read.

    A `read_timeout` of None reads the body as a stream without a timeout.
    """
    return await client.request(
        call.server.rstrip('/') + call.path,
        method=call.method,
        headers={
            'authorization': f'Bearer {call.token}',
            'content-type': 'application/json',
            'if-match': str(call.revision),
        },
        data=call.body,
        timeouts=Timeouts(
            CALL_TIMEOUT_SECONDS, read_timeout, None, read_timeout
        ),
        stream=read_timeout is None,
    )
