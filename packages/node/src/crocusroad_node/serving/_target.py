"""The front, caller and kind that a request names."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_wire import ProblemKind


class Target(NamedTuple):
    """What a request may use."""

    front: Front
    caller: Caller
    kind: RequestKind


def find_target(
    book: FrontRegistry,
    front_name: str,
    token_sha256: str,
    wanted: str,
) -> Result[Target, Refusal]:
    """Return the front, caller and kind of a request, or its refusal."""
    front = book.find(front_name)
    if front is None:
        detail = f'no front {front_name!r}'
        return Failure(refuse(ProblemKind.unknown_front, detail))
    caller = front.callers.get(token_sha256)
    if caller is None:
        detail = f'the front {front.name!r} does not know this token'
        return Failure(refuse(ProblemKind.unauthorized, detail))
    kind = front.kinds.get(wanted)
    if kind is None:
        detail = f'the front {front.name!r} has no kind {wanted!r}'
        return Failure(refuse(ProblemKind.unknown_kind, detail))
    return Success(Target(front, caller, kind))
