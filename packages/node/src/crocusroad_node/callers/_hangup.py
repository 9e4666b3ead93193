"""Work that stops when the caller hangs up."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from starlette.requests import Request

T = TypeVar('T')

_DISCONNECT = 'http.disconnect'


async def run_unless_hung_up(
    req: Request,
    work: Coroutine[Any, Any, T],
) -> T | None:
    """Return what `work` returns; cancel it and return None on a hang-up."""
    task = asyncio.ensure_future(work)
    watch = asyncio.ensure_future(_hung_up(req))
    try:
        await asyncio.wait((task, watch), return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        task.cancel()
        watch.cancel()


async def _hung_up(req: Request) -> None:
    while True:
        message = await req.receive()
        if message['type'] == _DISCONNECT:
            return
