"""Searches: admission, then the fan-out."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from crocusroad_core.admission import ConcurrencyLimit, Door, LiveCount
from crocusroad_core.configs import FrontBook
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.gather import Policy
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_core.snapshots import VersionView
from crocusroad_node.serving._admission import run_admitted
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.serving._crash_guard import NO_GUARD, CrashGuard
from crocusroad_node.serving._fan_out import FanOut
from crocusroad_node.upstreams import Upstreams
from crocusroad_wire import Answer, ProblemKind, SearchRequest

MS_PER_SECOND = 1000


class _Admitted(NamedTuple):
    front: Front
    caller: Caller
    kind: RequestKind


class SearchService:
    """Serves searches over the fronts in force."""

    def __init__(
        self,
        book: FrontBook,
        upstreams: Upstreams,
        policy_for: Callable[[Front], Policy],
        versions: VersionView | None = None,
        guard: CrashGuard = NO_GUARD,
        door: Door | None = None,
    ) -> None:
        self._book = book
        self._door = door or Door(ConcurrencyLimit(), LiveCount())
        self._guard = guard
        self._fan_out = FanOut(upstreams, policy_for, versions, guard)

    async def search(self, call: SearchCall) -> Result[Answer, Refusal]:
        """Return the answer to a search, or why it was refused."""
        admitted = self._admit(call)
        if not isinstance(admitted, Success):
            return Failure(admitted.failure())
        front, caller, kind = admitted.unwrap()
        quarantine = self._guard.check(call)
        if quarantine is not None:
            return Failure(quarantine)
        budget = _budget(call.request, kind)
        deadline = asyncio.get_running_loop().time() + budget
        return await run_admitted(
            self._door,
            (front, caller, kind),
            budget,
            lambda: self._fan_out.run(call, front, kind, deadline),
        )

    def _admit(self, call: SearchCall) -> Result[_Admitted, Refusal]:
        front = self._book.find(call.front)
        if front is None:
            kind = ProblemKind.unknown_front
            return Failure(refuse(kind, f'no front {call.front!r}'))
        caller = front.callers.get(call.token_sha256)
        if caller is None:
            detail = f'the front {front.name!r} does not know this token'
            return Failure(refuse(ProblemKind.unauthorized, detail))
        wanted = call.request['kind']
        accepted = front.kinds.get(wanted)
        if accepted is None:
            detail = f'the front {front.name!r} has no kind {wanted!r}'
            return Failure(refuse(ProblemKind.unknown_kind, detail))
        return Success(_Admitted(front, caller, accepted))


def _budget(request: SearchRequest, kind: RequestKind) -> float:
    wanted = request.get('deadline_ms')
    if wanted is None:
        return kind.deadline
    return min(kind.deadline, wanted / MS_PER_SECOND)
