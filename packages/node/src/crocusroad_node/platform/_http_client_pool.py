"""HTTP connections to the platform, each with one exchange at a time."""

from collections.abc import Mapping
from typing import NamedTuple

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import BasePool, PoolConfig
from aiosonic.timeout import Timeouts

from crocusroad_wire.bounded_connection import BoundedConnection

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_CLIENTS = 32
HEADERS = {'content-type': 'application/json'}


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes


class HttpClientPool:
    """Connections that are reused only after a complete exchange.

    aiosonic returns a late response to the next request on the connection.
    A connection whose exchange failed, timed out or was cancelled is
    therefore closed.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._idle: list[_Client] = []

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_seconds: float,
    ) -> Response:
        """Send one request and return the complete response.

        Raises:
            CONNECT_ERRORS: Nothing was sent.
            EXCHANGE_ERRORS: The request may have taken effect.
        """
        client = self._idle.pop() if self._idle else _Client()
        is_complete = False
        try:
            response = await client.exchange(
                method,
                self._url + path,
                body,
                timeout_seconds,
            )
            is_complete = True
        finally:
            self._release(client, is_complete=is_complete)
        return response

    def _release(self, client: '_Client', *, is_complete: bool) -> None:
        if is_complete and len(self._idle) < MAX_IDLE_CLIENTS:
            self._idle.append(client)
        else:
            client.close()


class _Client:
    def __init__(self) -> None:
        self._connections: list[BoundedConnection] = []
        connector = TCPConnector(
            pool_configs={':default': PoolConfig(size=1)},
            connection_cls=self._make_connection,
        )
        self._client = HTTPClient(connector)

    async def exchange(
        self,
        method: str,
        url: str,
        body: bytes,
        timeout_seconds: float,
        headers: Mapping[str, str] = HEADERS,
    ) -> Response:
        """Send one request and return the complete response."""
        response = await self._client.request(
            url,
            method=method,
            headers=dict(headers),
            data=body,
            timeouts=Timeouts(
                sock_connect=CONNECT_TIMEOUT_SECONDS,
                sock_read=timeout_seconds,
                request_timeout=timeout_seconds,
            ),
        )
        return Response(response.status_code, await response.content())

    def close(self) -> None:
        """Close the connection immediately."""
        for connection in self._connections:
            connection.close()

    def _make_connection(self, pool: BasePool) -> BoundedConnection:
        connection = BoundedConnection(pool)
        self._connections.append(connection)
        return connection
