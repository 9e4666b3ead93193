"""A bounded cache of connections to peers, at most one for each peer."""

import asyncio
from collections import OrderedDict
from contextlib import suppress

import pynng

from crocusroad_node.peers._transfers import receive, send

MAX_CONNECTIONS = 64
RESEND_DISABLED = -1  # callers decide whether to retry
MIN_RECONNECT_MS = 500
MAX_RECONNECT_MS = 4000


class PeerConnections:
    """Requests over cached connections to peers.

    The least recently used connection is closed when the cache is full.
    """

    def __init__(self, max_frame_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._sockets: OrderedDict[str, pynng.Req0] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of cached connections."""
        return len(self._sockets)

    async def exchange(
        self,
        address: str,
        raw: bytes,
        timeout: float,
    ) -> bytes | None:
        """Send a request and return the answer.

        Returns None if the request fails or no answer arrives within
        `timeout` seconds.
        """
        try:
            ctx = self._get_socket(address).new_context()
        except (pynng.NNGException, ValueError):
            return None
        try:
            async with asyncio.timeout(timeout):
                await send(ctx, raw)
                answer = await receive(ctx)
        except (pynng.NNGException, TimeoutError):
            return None
        finally:
            _close_context(ctx)
        return answer

    def close(self) -> None:
        """Close every connection."""
        while self._sockets:
            self._sockets.popitem()[1].close()

    def _get_socket(self, address: str) -> pynng.Req0:
        sock = self._sockets.get(address)
        if sock is None:
            sock = pynng.Req0(
                resend_time=RESEND_DISABLED,
                reconnect_time_min=MIN_RECONNECT_MS,
                reconnect_time_max=MAX_RECONNECT_MS,
                recv_max_size=self._max_frame_bytes,
            )
            sock.dial(f'tcp://{address}', block=False)
            self._sockets[address] = sock
        self._sockets.move_to_end(address)
        if len(self._sockets) > MAX_CONNECTIONS:
            self._sockets.popitem(last=False)[1].close()
        return sock


def _close_context(ctx: pynng.Context) -> None:
    # The socket may have been evicted and closed during the request.
    with suppress(pynng.Closed):
        ctx.close()
