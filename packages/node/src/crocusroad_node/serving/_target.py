"""Lookup of the front, caller and kind of a request."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_wire import ProblemKind


class Target(NamedTuple):
    """The front, caller and kind of a request."""

    front: Front
    caller: Caller
    kind: RequestKind


def find_target(
    registry: FrontRegistry,
    front_name: str,
    token_sha256: str,
    kind_name: str,
) -> Result[Target, Refusal]:
    """Find the front, caller and kind of a request.

    Returns a refusal if the front or kind does not exist or the front does
    not accept the token.
    """
    front = registry.find(front_name)
    if front is None:
        detail = f'no front {front_name!r}'
        return Failure(refuse(ProblemKind.unknown_front, detail))
    caller = front.callers.get(token_sha256)
    if caller is None:
        detail = f'front {front.name!r} does not accept this token'
        return Failure(refuse(ProblemKind.unauthorized, detail))
    kind = front.kinds.get(kind_name)
    if kind is None:
        detail = f'front {front.name!r} has no kind {kind_name!r}'
        return Failure(refuse(ProblemKind.unknown_kind, detail))
    return Success(Target(front, caller, kind))
