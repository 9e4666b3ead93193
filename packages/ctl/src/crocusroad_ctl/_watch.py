"""The stream of changes, resumed when it is cut."""

import asyncio
from collections.abc import AsyncIterator

from aiosonic import HTTPClient

from crocusroad_ctl._client import CALL_ERRORS, Call, open_call
from crocusroad_ctl._report import HTTP_BAD, refuse
from crocusroad_wire import FrontChange, decode_json

RESUME_SECONDS = 1.0
KEEP_ALIVES = (b'', b'{}')


async def watch_changes(call: Call, after: int) -> AsyncIterator[FrontChange]:
    """Yield each change after a revision, for ever."""
    while True:
        try:
            async for change in _stream(call, after):
                after = change['revision']
                yield change
        except CALL_ERRORS:
            await asyncio.sleep(RESUME_SECONDS)


async def _stream(call: Call, after: int) -> AsyncIterator[FrontChange]:
    path = f'{call.path}?after={after}'
    client = HTTPClient()
    response = await open_call(client, call._replace(path=path), None)
    if response.status_code >= HTTP_BAD:
        refuse(await response.content())
    async for line in response.iter_lines():
        raw = _encoded(line).strip()
        if raw not in KEEP_ALIVES:
            yield decode_json(FrontChange, raw)


def _encoded(line: str | bytes) -> bytes:
    return line.encode() if isinstance(line, str) else line
