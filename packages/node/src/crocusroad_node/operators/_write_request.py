"""Parsing of the expected revision and the body of a write request."""

from typing import Any

from returns.result import Failure, Result, Success
from starlette.requests import Request

from crocusroad_core.refusals import Refusal, refuse
from crocusroad_wire import DecodeError, ProblemKind, decode_json

REVISION_HEADER = 'if-match'

Write = tuple[int, Any]  # expected revision, parsed body


async def read_write(req: Request) -> Result[Write, Refusal]:
    """Return the expected revision and the parsed body of a write."""
    revision = read_revision(req)
    if not isinstance(revision, Success):
        return Failure(revision.failure())
    return (await read_body(req)).map(
        lambda body: (revision.unwrap(), body),
    )


def read_revision(req: Request) -> Result[int, Refusal]:
    """Return the revision in the If-Match header, or 0 without one."""
    raw = req.headers.get(REVISION_HEADER, '0').strip('"')
    if raw.isdecimal():
        return Success(int(raw))
    detail = f'If-Match is {raw!r}; give a revision, 0 to create'
    return Failure(refuse(ProblemKind.malformed, detail))


async def read_body(req: Request) -> Result[Any, Refusal]:
    """Return the request body parsed as JSON."""
    try:
        return Success(decode_json(object, await req.body()))
    except DecodeError as exc:
        return Failure(refuse(ProblemKind.malformed, str(exc)))
