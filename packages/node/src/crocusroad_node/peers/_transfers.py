"""Sending and receiving on a pynng context without losing a cancellation.

pynng drops a cancellation that arrives after the transfer has completed but
before its task has run. A loop around the transfer would then never end, and
neither would the shutdown that waits for the loop.
"""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import pynng

T = TypeVar('T')


async def receive(ctx: pynng.Context) -> bytes:
    """Return the next message.

    Raises:
        pynng.NNGException: The transfer failed.
    """
    return await _keep_cancellation(ctx.arecv())


async def send(ctx: pynng.Context, raw: bytes) -> None:
    """Send a message.

    Raises:
        pynng.NNGException: The transfer failed.
    """
    await _keep_cancellation(ctx.asend(raw))


async def _keep_cancellation(transfer: Awaitable[T]) -> T:
    task = asyncio.current_task()
    cancellations = task.cancelling() if task else 0
    try:
        return await transfer
    finally:
        if task and task.cancelling() > cancellations:
            raise asyncio.CancelledError
