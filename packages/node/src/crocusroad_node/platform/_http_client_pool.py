"""HTTP connections to the platform, one exchange at a time on each."""

from collections.abc import Mapping
from typing import NamedTuple

from aiosonic import HTTPClient, TCPConnector
from aiosonic.connection import Connection
from aiosonic.pools import BasePool, PoolConfig
from aiosonic.timeout import Timeouts

CONNECT_SECONDS = 0.5
MOST_IDLE = 32  # connections
HEADERS = {'content-type': 'application/json'}


class Response(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class HttpClientPool:
    """Connections that are reused only after an exchange that ended whole.

    The library hands a late answer to the next request on its connection, so
    a connection whose exchange was cut, timed out or cancelled is closed.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._idle: list[_Client] = []

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        seconds: float,
    ) -> Response:
        """Send one request and return its whole answer.

        Raises:
            CONNECT_ERRORS: Nothing was sent.
            EXCHANGE_ERRORS: The request may have had its effect.
        """
        client = self._idle.pop() if self._idle else _Client()
        is_whole = False
        try:
            response = await client.exchange(
                method,
                self._url + path,
                body,
                seconds,
            )
            is_whole = True
        finally:
            self._put_back(client, is_whole=is_whole)
        return response

    def _put_back(self, client: '_Client', *, is_whole: bool) -> None:
        if is_whole and len(self._idle) < MOST_IDLE:
            self._idle.append(client)
        else:
            client.close()


class _Client:
    def __init__(self) -> None:
        self._sockets: list[Connection] = []
        connector = TCPConnector(
            pool_configs={':default': PoolConfig(size=1)},
            connection_cls=self._tracked,
        )
        self._client = HTTPClient(connector)

    async def exchange(
        self,
        method: str,
        url: str,
        body: bytes,
        seconds: float,
        headers: Mapping[str, str] = HEADERS,
    ) -> Response:
        """Send one request and return its whole answer."""
        response = await self._client.request(
            url,
            method=method,
            headers=dict(headers),
            data=body,
            timeouts=Timeouts(
                sock_connect=CONNECT_SECONDS,
                sock_read=seconds,
                request_timeout=seconds,
            ),
        )
        return Response(response.status_code, await response.content())

    def close(self) -> None:
        """Close the socket at once."""
        for one in self._sockets:
            one.close()

    def _tracked(self, pool: BasePool) -> Connection:
        socket = Connection(pool)
        self._sockets.append(socket)
        return socket
