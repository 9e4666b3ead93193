"""Timeout that is extended by the time in which the process is stalled."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

# A timer that fires later than this was delayed by a stall of the process:
# the data that the peer sent in the meantime has not been read yet.
STALL_THRESHOLD_SECONDS: Final = 0.05


@asynccontextmanager
async def stall_aware_timeout(seconds: float) -> AsyncIterator[None]:
    """Limit the enclosed awaits to `seconds`, not counting process stalls.

    Raises:
        TimeoutError: The time has passed.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    timer: asyncio.TimerHandle | None = None

    def on_timer() -> None:
        nonlocal deadline, timer
        delay = loop.time() - deadline
        if delay > STALL_THRESHOLD_SECONDS:
            deadline = loop.time() + min(delay, seconds)
            timer = loop.call_at(deadline, on_timer)
        else:
            timeout.reschedule(deadline)

    timer = loop.call_at(deadline, on_timer)
    try:
        async with asyncio.timeout(None) as timeout:
            yield
    finally:
        if timer is not None:
            timer.cancel()
