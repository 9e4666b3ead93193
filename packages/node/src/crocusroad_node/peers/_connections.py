"""Connections to peers: one a peer, few in all."""

import asyncio
from collections import OrderedDict
from contextlib import suppress

import pynng

from crocusroad_node.peers._transfers import receive, send

MAX_LINKS = 64
NO_RESEND = -1  # retrying is the sender's business
RECONNECT_MS = 500
MAX_RECONNECT_MS = 4000


class PeerConnections:
    """Requests to peers over kept connections; the least used give way."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sockets: OrderedDict[str, pynng.Req0] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of connections kept."""
        return len(self._sockets)

    async def exchange(
        self,
        address: str,
        raw: bytes,
        timeout: float,
    ) -> bytes | None:
        """Return the answer to a request; None if none came in time."""
        try:
            ctx = self._socket(address).new_context()
        except (pynng.NNGException, ValueError):
            return None
        try:
            async with asyncio.timeout(timeout):
                await send(ctx, raw)
                answer = await receive(ctx)
        except (pynng.NNGException, TimeoutError):
            return None
        finally:
            _close(ctx)
        return answer

    def close(self) -> None:
        """Close every connection."""
        while self._sockets:
            self._sockets.popitem()[1].close()

    def _socket(self, address: str) -> pynng.Req0:
        sock = self._sockets.get(address)
        if sock is None:
            sock = pynng.Req0(
                resend_time=NO_RESEND,
                reconnect_time_min=RECONNECT_MS,
                reconnect_time_max=MAX_RECONNECT_MS,
                recv_max_size=self._max_bytes,
            )
            sock.dial(f'tcp://{address}', block=False)
            self._sockets[address] = sock
        self._sockets.move_to_end(address)
        if len(self._sockets) > MAX_LINKS:
            self._sockets.popitem(last=False)[1].close()
        return sock


def _close(ctx: pynng.Context) -> None:
    # Its connection may have given way meanwhile.
    with suppress(pynng.Closed):
        ctx.close()
