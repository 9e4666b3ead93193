"""The close of a connection after its last reply.

A reset answers the bytes that reach a closed socket, and destroys what the
caller has not received. So only the sending side is ended at first.
"""

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Final

from crocusroad_node.gateway._unread_bytes import count_undelivered_bytes

# For the caller to close after it has received the reply.
LINGER_SECONDS: Final = 0.5
MAX_LINGER_SECONDS: Final = 2.0  # for a caller that receives slowly

SetTimer = Callable[[float, Callable[[], None]], None]


def close_lingering(
    transport: asyncio.Transport, set_timer: SetTimer, now: float
) -> None:
    """End the sending side; close when the caller has had time to.

    The protocol has to discard what it receives meanwhile. `set_timer` calls a
    function after a time in seconds, unless the connection is lost before.
    """
    until = now + MAX_LINGER_SECONDS

    def close() -> None:
        if monotonic() < until and has_undelivered_bytes(transport):
            set_timer(LINGER_SECONDS, close)
        else:
            transport.close()

    set_timer(LINGER_SECONDS, close)
    transport.write_eof()


def has_undelivered_bytes(transport: asyncio.Transport) -> bool:
    """Tell whether the caller's host has not acknowledged all replies."""
    if transport.get_write_buffer_size():
        return True
    return count_undelivered_bytes(transport.get_extra_info('socket')) > 0
