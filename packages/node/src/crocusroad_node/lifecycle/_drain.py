"""The graceful stop of a node."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final, NamedTuple

from crocusroad_node.lifecycle._request_tracker import RequestGate
from crocusroad_node.node_lifecycle import NodeLifecycle

QUIET_SECONDS: Final = 0.5  # without a request, before idle connections close
LAST_ANSWERS_SECONDS: Final = 2.0


class DrainBounds(NamedTuple):
    """How long a graceful stop may take."""

    balancer_lag: float  # seconds in which the balancer still sends requests
    total: float  # seconds until requests in progress are ended


async def drain_node(
    life: NodeLifecycle,
    gates: tuple[RequestGate, ...],
    leave: Callable[[], Awaitable[None]],
    bounds: DrainBounds,
) -> None:
    """Wait for the stop, then until every request has its answer."""
    await life.draining.wait()
    leaving = asyncio.ensure_future(leave())
    quiet = asyncio.ensure_future(_quiet(gates[0], bounds.balancer_lag))
    hurry = asyncio.ensure_future(life.hurried.wait())
    await asyncio.wait(
        (quiet, hurry),
        timeout=bounds.total,
        return_when=asyncio.FIRST_COMPLETED,
    )
    for waiting in (quiet, hurry):
        waiting.cancel()
    for gate in gates:
        gate.shut()
    await _answered(gates)
    leaving.cancel()


async def _quiet(gate: RequestGate, lag: float) -> None:
    left = lag
    while left > 0:
        await asyncio.sleep(left)
        await gate.idle.wait()
        left = _until_quiet(gate)


def _until_quiet(gate: RequestGate) -> float:
    if gate.last_at is None:
        return 0
    idle = asyncio.get_running_loop().time() - gate.last_at
    return QUIET_SECONDS - idle


async def _answered(gates: tuple[RequestGate, ...]) -> None:
    waits = (gate.idle.wait() for gate in gates)
    with suppress(TimeoutError):
        async with asyncio.timeout(LAST_ANSWERS_SECONDS):
            await asyncio.gather(*waits)
