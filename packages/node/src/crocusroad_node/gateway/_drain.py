"""The graceful stop of a gateway."""

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import Final

from crocusroad_node.gateway._connection import ConnectionContext

# The balancer notices an instance that is not ready after two questions, one
# a second; connections that it opened meanwhile are served.
BALANCER_SECONDS: Final = 2.3
# Kept of the grace for the last answers and the exit, in seconds.
EXIT_SECONDS: Final = 0.6
TICK_SECONDS: Final = 0.05


async def drain_connections(
    door: ConnectionContext,
    in_flight: Callable[[], int],
    grace: float,
) -> None:
    """Answer what is asked, close what is idle; return within the grace."""
    last = monotonic() + grace - EXIT_SECONDS
    await asyncio.sleep(min(BALANCER_SECONDS, grace / 2))
    while monotonic() < last:
        for connection in tuple(door.connections):
            connection.close_if_idle()
        if not in_flight() and not door.connections:
            break
        await asyncio.sleep(TICK_SECONDS)
