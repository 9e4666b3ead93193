"""The stream of changes, fed by what this node has adopted."""

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

LOOK_SECONDS = 0.1  # between looks at the changes in memory
KEEP_ALIVE_LOOKS = 50
KEEP_ALIVE = b'{}\n'
MEDIA_TYPE = 'application/x-ndjson'
FROM_NOW_ON = '-1'

_KINDS: Final[Mapping[Adoption, ChangeKind]] = {
    Adoption.adopted: 'applied',
    Adoption.removed: 'deleted',
}


async def stream_changes(context: OperatorContext, req: Request) -> Response:
    """Answer with the changes after a revision, for as long as it is read."""
    raw = req.query_params.get('after', FROM_NOW_ON)
    if raw == FROM_NOW_ON:
        raw = str(context.registry.position)
    if not raw.isdecimal():
        detail = f'after is {raw!r}; give a revision, or -1 for from now on'
        return problem_response(refuse(ProblemKind.malformed, detail))
    after = int(raw)
    if context.registry.changes_after(after) is None:
        return problem_response(_too_old(after))
    lines = _lines(context.registry.changes_after, after)
    return StreamingResponse(lines, media_type=MEDIA_TYPE)


async def _lines(
    changes_after: Callable[[int], list[FrontEvent] | None],
    after: int,
) -> AsyncIterator[bytes]:
    idle = 0
    events = changes_after(after)
    while events is not None:
        for event in events:
            after = event.revision
            yield _line(event)
        idle = 0 if events else idle + 1
        if idle % KEEP_ALIVE_LOOKS == 1:
            yield KEEP_ALIVE
        await asyncio.sleep(LOOK_SECONDS)
        events = changes_after(after)


def _line(event: FrontEvent) -> bytes:
    kind = _KINDS.get(event.adoption)
    if kind is None:
        return KEEP_ALIVE
    change = FrontChange(
        change=kind,
        name=event.name,
        revision=event.revision,
    )
    return b'%b\n' % encode_json(change)


def _too_old(after: int) -> Refusal:
    detail = f'changes after revision {after} are forgotten'
    return refuse(ProblemKind.revision_too_old, detail)
