"""Handlers that check, write and delete fronts."""

from typing import cast

from returns.result import Result, Success
from starlette.requests import Request
from starlette.responses import Response

from crocusroad_core.fronts import check_spec
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.operators._context import OperatorContext
from crocusroad_node.operators._reply import json_response
from crocusroad_node.operators._write_request import (
    read_body,
    read_revision,
    read_write,
)
from crocusroad_node.web import problem_response
from crocusroad_wire import (
    CheckReport,
    Fault,
    FrontSpec,
    ProblemKind,
    WriteReceipt,
)


async def apply_front(context: OperatorContext, req: Request) -> Response:
    """Create a front, or replace it if it has the expected revision."""
    write = await read_write(req)
    if not isinstance(write, Success):
        return problem_response(write.failure())
    revision, raw = write.unwrap()
    faults = check_spec(raw)
    if faults:
        return problem_response(_invalid_spec(faults))
    name = req.path_params['front']
    spec = cast('FrontSpec', raw)
    return _write_response(
        name, await context.store.apply(name, spec, revision)
    )


async def delete_front(context: OperatorContext, req: Request) -> Response:
    """Delete a front if it has the expected revision."""
    revision = read_revision(req)
    if not isinstance(revision, Success):
        return problem_response(revision.failure())
    name = req.path_params['front']
    return _write_response(
        name, await context.store.delete(name, revision.unwrap())
    )


async def check_front(context: OperatorContext, req: Request) -> Response:
    """Respond with every fault of a spec without writing it."""
    raw = await read_body(req)
    if not isinstance(raw, Success):
        return problem_response(raw.failure())
    return json_response(CheckReport(faults=check_spec(raw.unwrap())))


def _invalid_spec(faults: list[Fault]) -> Refusal:
    detail = f'the spec has {len(faults)} faults'
    refusal = refuse(ProblemKind.invalid_spec, detail)
    return refusal._replace(faults=tuple(faults))


def _write_response(name: str, written: Result[int, Refusal]) -> Response:
    if not isinstance(written, Success):
        return problem_response(written.failure())
    revision = written.unwrap()
    receipt = WriteReceipt(name=name, revision=revision)
    return json_response(receipt, revision)
