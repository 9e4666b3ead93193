"""One connection to one replica."""

from collections.abc import Awaitable
from typing import Final

from aiosonic import HTTPClient, HttpResponse, TCPConnector
from aiosonic.connection import Connection
from aiosonic.pools import BasePool, PoolConfig
from aiosonic.timeout import Timeouts

from crocusroad_core.fronts import Replica

HEADER_REQUEST_ID = 'x-request-id'
HEADER_REFUSED = 'x-not-run'
MAX_IDLE_MS = 3_600_000

_NEVER: Final = Timeouts(
    sock_connect=None,
    sock_read=None,
    request_timeout=None,
)


class Link:
    """One connection, used for one exchange at a time.

    A library client with a pool of one socket: after an exchange that did
    not end whole the socket is closed, so that a late answer can never reach
    another request.
    """

    def __init__(self, replica: Replica, agent: str, now: float) -> None:
        self.opened_at = now
        self.proved_at = now  # when an answer last came whole
        self._agent = agent
        self._sockets: list[Connection] = []
        self._client = HTTPClient(self._connector())
        self._base = f'http://{replica.address}'

    @property
    def is_open(self) -> bool:
        """Tell whether the socket is open."""
        return any(one.is_connected for one in self._sockets)

    def has_unread(self) -> bool:
        """Tell whether the idle socket holds bytes or was closed.

        Both bar it from use: bytes that no request asked for belong to a
        doubled or late answer.
        """
        return any(_has_unread(one) for one in self._sockets)

    async def post(
        self,
        path: str,
        body: bytes,
        request_id: str,
    ) -> HttpResponse:
        """Send a request and return the answer with its body read."""
        headers = {
            'content-type': 'application/json',
            HEADER_REQUEST_ID: request_id,
            'user-agent': self._agent,
        }
        return await self._whole(
            self._client.post(self._base + path, data=body, headers=headers),
        )

    async def get(self, path: str) -> HttpResponse:
        """Read a resource and return the answer with its body read."""
        headers = {'user-agent': self._agent}
        return await self._whole(
            self._client.get(self._base + path, headers=headers),
        )

    def close(self) -> None:
        """Close the socket at once."""
        for one in self._sockets:
            one.close()

    async def _whole(self, exchange: Awaitable[HttpResponse]) -> HttpResponse:
        is_whole = False
        try:
            response = await exchange
            await response.content()
            is_whole = True
        finally:
            if not is_whole:
                self.close()
        return response

    def _connector(self) -> TCPConnector:
        config = PoolConfig(
            size=1,
            max_conn_requests=None,
            max_conn_idle_ms=MAX_IDLE_MS,
        )
        return TCPConnector(
            pool_configs={':default': config},
            timeouts=_NEVER,
            connection_cls=self._tracked,
        )

    def _tracked(self, pool: BasePool) -> Connection:
        socket = Connection(pool)
        self._sockets.append(socket)
        return socket


def _has_unread(socket: Connection) -> bool:
    if socket.reader is None:
        return False
    # One step of a read ends at once if there are bytes or the end.
    step = socket.reader.read(1)
    try:
        step.send(None)
    except (StopIteration, OSError):
        return True
    step.close()
    return False
