"""Stream of changes that is resumed after an interruption."""

import asyncio
from collections.abc import AsyncIterator

from crocusroad_ctl._client import CALL_ERRORS, Call, make_client, open_call
from crocusroad_ctl._errors import FIRST_ERROR_STATUS, exit_with_problem
from crocusroad_wire import FrontChange, decode_json

RESUME_DELAY_SECONDS = 1.0
KEEP_ALIVE_LINES = (b'', b'{}')


async def watch_changes(call: Call, after: int) -> AsyncIterator[FrontChange]:
    """Yield each change after a revision, without end."""
    while True:
        try:
            async for change in _stream(call, after):
                after = change['revision']
                yield change
        except CALL_ERRORS:
            await asyncio.sleep(RESUME_DELAY_SECONDS)


async def _stream(call: Call, after: int) -> AsyncIterator[FrontChange]:
    path = f'{call.path}?after={after}'
    client = make_client()
    response = await open_call(client, call._replace(path=path), None)
    if response.status_code >= FIRST_ERROR_STATUS:
        exit_with_problem(await response.content())
    async for line in response.iter_lines():
        raw = _to_bytes(line).strip()
        if raw not in KEEP_ALIVE_LINES:
            yield decode_json(FrontChange, raw)


def _to_bytes(line: str | bytes) -> bytes:
    return line.encode() if isinstance(line, str) else line
