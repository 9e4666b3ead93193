"""The stream of front changes that this node has adopted."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Final

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from crocusroad_core.configs import Adoption, FrontEvent
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.operators._context import OperatorContext
from crocusroad_node.web import problem_response
from crocusroad_wire import ChangeKind, FrontChange, ProblemKind, encode_json

POLL_SECONDS = 0.1  # between polls of the changes in memory
KEEP_ALIVE_POLLS = 50  # polls without changes per keep-alive line
KEEP_ALIVE = b'{}\n'
MEDIA_TYPE = 'application/x-ndjson'
LATEST_REVISION = '-1'

_CHANGE_KINDS: Final[Mapping[Adoption, ChangeKind]] = {
    Adoption.adopted: 'applied',
    Adoption.removed: 'deleted',
}


async def stream_changes(context: OperatorContext, req: Request) -> Response:
    """Stream the changes after a revision until the client disconnects."""
    raw = req.query_params.get('after', LATEST_REVISION)
    if raw == LATEST_REVISION:
        raw = str(context.registry.position)
    if not raw.isdecimal():
        detail = (
            f'after is {raw!r}; give a revision, or -1 for new changes only'
        )
        return problem_response(refuse(ProblemKind.malformed, detail))
    after = int(raw)
    if context.registry.changes_after(after) is None:
        return problem_response(_revision_too_old(after))
    lines = _stream_lines(context.registry.changes_after, after)
    return StreamingResponse(lines, media_type=MEDIA_TYPE)


async def _stream_lines(
    changes_after: Callable[[int], list[FrontEvent] | None],
    after: int,
) -> AsyncIterator[bytes]:
    idle_polls = 0
    events = changes_after(after)
    while events is not None:
        for event in events:
            after = event.revision
            yield _encode_event(event)
        idle_polls = 0 if events else idle_polls + 1
        if idle_polls % KEEP_ALIVE_POLLS == 1:
            yield KEEP_ALIVE
        await asyncio.sleep(POLL_SECONDS)
        events = changes_after(after)


def _encode_event(event: FrontEvent) -> bytes:
    kind = _CHANGE_KINDS.get(event.adoption)
    if kind is None:
        return KEEP_ALIVE
    change = FrontChange(
        change=kind,
        name=event.name,
        revision=event.revision,
    )
    return b'%b\n' % encode_json(change)


def _revision_too_old(after: int) -> Refusal:
    detail = f'changes after revision {after} are no longer available'
    return refuse(ProblemKind.revision_too_old, detail)
