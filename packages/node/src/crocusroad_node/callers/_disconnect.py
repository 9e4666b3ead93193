"""Cancellation of work when the caller disconnects."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from starlette.requests import Request

T = TypeVar('T')

_DISCONNECT = 'http.disconnect'


async def run_until_disconnect(
    req: Request,
    work: Coroutine[Any, Any, T],
) -> T | None:
    """Return the result of `work`, or None if the caller disconnects first.

    A disconnect cancels `work`.
    """
    task = asyncio.ensure_future(work)
    disconnect = asyncio.ensure_future(_wait_for_disconnect(req))
    try:
        await asyncio.wait(
            (task, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
        return task.result() if task.done() else None
    finally:
        task.cancel()
        disconnect.cancel()


async def _wait_for_disconnect(req: Request) -> None:
    while True:
        message = await req.receive()
        if message['type'] == _DISCONNECT:
            return
