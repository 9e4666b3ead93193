"""The graceful stop of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final, NamedTuple

from crocusroad_node.lifecycle._request_tracker import RequestTracker
from crocusroad_node.node_lifecycle import NodeLifecycle

QUIET_SECONDS: Final = 0.5  # without a request, before idle connections close
LAST_ANSWERS_SECONDS: Final = 2.0


class DrainTimeouts(NamedTuple):
    """How long a graceful stop may take."""

    balancer_lag: float  # seconds in which the balancer still sends requests
    total: float  # seconds until requests in progress are ended


async def drain_node(
    life: NodeLifecycle,
    trackers: tuple[RequestTracker, ...],
    leave: Callable[[], Awaitable[None]],
    bounds: DrainTimeouts,
) -> None:
    """Wait for the stop, then until every request has its answer."""
    await life.draining.wait()
    leaving = asyncio.ensure_future(leave())
    quiet = asyncio.ensure_future(_quiet(trackers[0], bounds.balancer_lag))
    hurry = asyncio.ensure_future(life.forced.wait())
    await asyncio.wait(
        (quiet, hurry),
        timeout=bounds.total,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for waiting in (quiet, hurry):
        waiting.cancel()
    for tracker in trackers:
        tracker.abort()
    await _answered(trackers)
    leaving.cancel()


async def _quiet(tracker: RequestTracker, lag: float) -> None:
    left = lag
    while left > 0:
        await asyncio.sleep(left)
        await tracker.idle.wait()
        left = _until_quiet(tracker)


def _until_quiet(tracker: RequestTracker) -> float:
    if tracker.last_at is None:
        return 0
    idle = asyncio.get_running_loop().time() - tracker.last_at
    return QUIET_SECONDS - idle


async def _answered(trackers: tuple[RequestTracker, ...]) -> None:
    waits = (tracker.idle.wait() for tracker in trackers)
    with suppress(TimeoutError):
        async with asyncio.timeout(LAST_ANSWERS_SECONDS):
            await asyncio.gather(*waits)
