"""Handlers that read fronts and the state of this node."""

from returns.result import Success
from starlette.requests import Request
from starlette.responses import Response

from crocusroad_core.configs import front_status
from crocusroad_core.refusals import refuse
from crocusroad_node.operators._context import OperatorContext
from crocusroad_node.operators._reply import fault_response, json_response
from crocusroad_node.web import problem_response
from crocusroad_wire import FrontResource, ProblemKind


async def list_fronts(context: OperatorContext, req: Request) -> Response:
    """Respond with every front."""
    fronts = await context.store.list()
    if isinstance(fronts, Success):
        return json_response(
            [_add_status(context, front) for front in fronts.unwrap()]
        )
    return fault_response(fronts.failure())


async def read_front(context: OperatorContext, req: Request) -> Response:
    """Respond with one front."""
    name = req.path_params['front']
    found = await context.store.read(name)
    if not isinstance(found, Success):
        return fault_response(found.failure())
    front = found.unwrap()
    if front is None:
        refusal = refuse(ProblemKind.unknown_front, f'no front {name!r}')
        return problem_response(refusal)
    return json_response(_add_status(context, front), front['revision'])


async def show_node(context: OperatorContext, req: Request) -> Response:
    """Respond with the state of this node."""
    return json_response(context.status())


def _add_status(
    context: OperatorContext, front: FrontResource
) -> FrontResource:
    front['status'] = front_status(front['revision'], context.positions())
    return front
