"""HTTP calls to the store over persistent connections."""

import asyncio
from time import monotonic
from typing import Final

from returns.result import Failure, Result, Success

from crocusroad_core.gather import FailureReason
from crocusroad_node.exchanges import (
    Call,
    CallResult,
    ConnectionPool,
    Request,
    Response,
)
from crocusroad_node.kv import StoreFault

MAX_CONNECTIONS: Final = 6  # three watches and the calls beside them
_NO_ID: Final = b''


class StoreHttpClient:
    """Sends HTTP requests to the store, or to an instance that relays it.

    Implements the `HttpTransport` of the platform's store adapter.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._pool = ConnectionPool(address, _NO_ID, lambda: MAX_CONNECTIONS)
        self._host = '{}:{}'.format(*address)

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        seconds: float,
    ) -> Result[Response, StoreFault]:
        """Return the response, or a fault if none arrives in `seconds`."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[CallResult] = loop.create_future()
        raw = self._encode(method, target, body)
        call = Call(
            self._pool,
            Request(lambda now: raw, _NO_ID),
            monotonic() + seconds,
            lambda result: None if done.done() else done.set_result(result),
        )
        try:
            result = await done
        finally:
            if not done.done():
                call.abort()
        outcome = result.outcome
        if isinstance(outcome, FailureReason):
            return Failure(_fault(outcome))
        return Success(outcome)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def _encode(self, method: str, target: str, body: bytes) -> bytes:
        lines = [f'{method} {target} HTTP/1.1', f'Host: {self._host}']
        if body or method == 'POST':
            lines.append('Content-Type: application/json')
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join((*lines, '', ''))
        return b'%b%b' % (head.encode(), body)


def _fault(reason: FailureReason) -> StoreFault:
    if reason is FailureReason.connect_refused:
        return StoreFault.refused
    if reason.may_have_run:
        return StoreFault.unknown
    return StoreFault.unavailable
