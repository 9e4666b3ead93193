"""HTTP connection to a replica."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from aiosonic import HTTPClient, HttpResponse, TCPConnector
from aiosonic.pools import BasePool, PoolConfig
from aiosonic.timeout import Timeouts

from crocusroad_core.discovery import ReplicaNotice, parse_notice
from crocusroad_core.fronts import Replica
from crocusroad_wire.bounded_connection import BoundedConnection

HEADER_REQUEST_ID = 'x-request-id'
HEADER_NOT_RUN = 'x-not-run'
HEADER_LEAVING = 'x-leaving'
HEADER_RETRY_AFTER = 'retry-after'
MAX_IDLE_MS = 3_600_000

# Gets what an answer says of its replica, and when the request was sent.
OnAnswer = Callable[[ReplicaNotice | None, float], None]


def _ignore_answer(notice: ReplicaNotice | None, asked_at: float) -> None:
    """Ignore what an answer says of its replica."""


_NO_TIMEOUTS: Final = Timeouts(
    sock_connect=None,
    sock_read=None,
    request_timeout=None,
)


class ReplicaConnection:
    """HTTP connection that carries one exchange at a time.

    It wraps a client of the HTTP library whose pool holds one socket. The
    socket is closed after an incomplete exchange, so that a late answer cannot
    be taken for the answer to another request.
    """

    def __init__(
        self,
        replica: Replica,
        user_agent: str,
        now: float,
        on_answer: OnAnswer = _ignore_answer,
    ) -> None:
        self._on_answer = on_answer
        self.opened_at = now
        self.last_answer_at = now  # time of the last complete answer
        self._user_agent = user_agent
        self._sockets: list[BoundedConnection] = []
        self._client = HTTPClient(self._build_connector())
        self._base_url = f'http://{replica.address}'

    @property
    def is_open(self) -> bool:
        """Return whether the socket is open."""
        return any(socket.is_connected for socket in self._sockets)

    def is_readable(self) -> bool:
        """Return whether the idle socket has unread data or was closed.

        Such a connection must not be used again: data that arrives without a
        request belongs to a duplicate or late answer.
        """
        return any(_is_readable(socket) for socket in self._sockets)

    async def post(
        self,
        path: str,
        body: bytes,
        request_id: str,
    ) -> HttpResponse:
        """Send a POST request and return the response with its body read."""
        headers = {
            'content-type': 'application/json',
            HEADER_REQUEST_ID: request_id,
            'user-agent': self._user_agent,
        }
        return await self._complete(
            self._client.post(
                self._base_url + path, data=body, headers=headers
            ),
        )

    async def get(self, path: str) -> HttpResponse:
        """Send a GET request and return the response with its body read."""
        headers = {'user-agent': self._user_agent}
        return await self._complete(
            self._client.get(self._base_url + path, headers=headers),
        )

    def close(self) -> None:
        """Close the socket immediately."""
        for socket in self._sockets:
            socket.close()

    async def _complete(
        self, exchange: Awaitable[HttpResponse]
    ) -> HttpResponse:
        is_complete = False
        asked_at = asyncio.get_running_loop().time()
        try:
            response = await exchange
            await response.content()
            is_complete = True
        finally:
            if not is_complete:
                self.close()
        self._on_answer(_read_notice(response), asked_at)
        return response

    def _build_connector(self) -> TCPConnector:
        config = PoolConfig(
            size=1,
            max_conn_requests=None,
            max_conn_idle_ms=MAX_IDLE_MS,
        )
        return TCPConnector(
            pool_configs={':default': config},
            timeouts=_NO_TIMEOUTS,
            connection_cls=self._track_connection,
        )

    def _track_connection(self, pool: BasePool) -> BoundedConnection:
        socket = BoundedConnection(pool)
        self._sockets.append(socket)
        return socket


def _read_notice(response: HttpResponse) -> ReplicaNotice | None:
    headers = response.headers
    return parse_notice(
        response.status_code,
        headers.get(HEADER_LEAVING, ''),
        headers.get(HEADER_RETRY_AFTER, ''),
    )


def _is_readable(socket: BoundedConnection) -> bool:
    if socket.reader is None:
        return False
    # The first step of a read returns at once if data or EOF is buffered.
    coro = socket.reader.read(1)
    try:
        coro.send(None)
    except (StopIteration, OSError):
        return True
    coro.close()
    return False
