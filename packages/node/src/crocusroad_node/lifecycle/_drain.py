"""Graceful shutdown of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final, NamedTuple

from crocusroad_node.lifecycle._request_tracker import RequestTracker
from crocusroad_node.node_lifecycle import NodeLifecycle

QUIET_SECONDS: Final = 0.5  # without a request, before idle sockets close
LAST_RESPONSES_SECONDS: Final = 2.0


class DrainTimeouts(NamedTuple):
    """Time limits of a graceful shutdown."""

    balancer_lag_seconds: float  # until the balancer stops sending
    total_seconds: float  # until requests in progress are aborted


async def drain_node(
    lifecycle: NodeLifecycle,
    trackers: tuple[RequestTracker, ...],
    leave: Callable[[], Awaitable[None]],
    timeouts: DrainTimeouts,
) -> None:
    """Wait for the shutdown to start, then drain the node.

    Requests are accepted until the balancer lag has passed and none has
    arrived for `QUIET_SECONDS`, until the total time has passed, or until
    the shutdown is forced. Requests that are then in progress are aborted,
    and their responses are awaited for `LAST_RESPONSES_SECONDS`.
    """
    await lifecycle.draining.wait()
    leaving = asyncio.ensure_future(leave())
    quiet = asyncio.ensure_future(
        _wait_until_quiet(trackers[0], timeouts.balancer_lag_seconds)
    )
    forced = asyncio.ensure_future(lifecycle.forced.wait())
    await asyncio.wait(
        (quiet, forced),
        timeout=timeouts.total_seconds,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in (quiet, forced):
        task.cancel()
    for tracker in trackers:
        tracker.abort()
    await _wait_until_answered(trackers)
    leaving.cancel()


async def _wait_until_quiet(tracker: RequestTracker, lag: float) -> None:
    remaining = lag
    while remaining > 0:
        await asyncio.sleep(remaining)
        await tracker.idle.wait()
        remaining = _seconds_until_quiet(tracker)


def _seconds_until_quiet(tracker: RequestTracker) -> float:
    if tracker.last_request_at is None:
        return 0
    idle = asyncio.get_running_loop().time() - tracker.last_request_at
    return QUIET_SECONDS - idle


async def _wait_until_answered(trackers: tuple[RequestTracker, ...]) -> None:
    waits = (tracker.idle.wait() for tracker in trackers)
    with suppress(TimeoutError):
        async with asyncio.timeout(LAST_RESPONSES_SECONDS):
            await asyncio.gather(*waits)
