"""A timeout that does not run while the process itself is held up."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

# A timer that fires later than this, in seconds, was held up by the process:
# what the other end has sent meanwhile has not been read yet.
LATE_SECONDS: Final = 0.05


@asynccontextmanager
async def stall_aware_timeout(seconds: float) -> AsyncIterator[None]:
    """Bound what is awaited inside, to `seconds` in which it could go on.

    Raises:
        TimeoutError: The time has passed.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    timer: asyncio.TimerHandle | None = None

    def check() -> None:
        nonlocal due, timer
        late = loop.time() - due
        if late > LATE_SECONDS:
            due = loop.time() + min(late, seconds)
            timer = loop.call_at(due, check)
        else:
            bound.reschedule(due)

    timer = loop.call_at(due, check)
    try:
        async with asyncio.timeout(None) as bound:
            yield
    finally:
        if timer is not None:
            timer.cancel()
