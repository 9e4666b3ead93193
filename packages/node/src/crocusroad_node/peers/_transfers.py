"""Sending and receiving on a context, so that a cancellation is never lost.

pynng drops a cancellation that arrives when the transfer is already complete
but its task has not run yet. A loop around it would go on for ever, and so
would the shutdown that waits for the loop.
"""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import pynng

T = TypeVar('T')


async def receive(ctx: pynng.Context) -> bytes:
    """Return the next message; raises pynng.NNGException."""
    return await _keep_cancellation(ctx.arecv())


async def send(ctx: pynng.Context, raw: bytes) -> None:
    """Send a message; raises pynng.NNGException."""
    await _keep_cancellation(ctx.asend(raw))


async def _keep_cancellation(transfer: Awaitable[T]) -> T:
    task = asyncio.current_task()
    before = task.cancelling() if task else 0
    try:
        return await transfer
    finally:
        if task and task.cancelling() > before:
            raise asyncio.CancelledError
