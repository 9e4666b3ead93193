"""Searches: admission, then the fan-out."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from crocusroad_core.admission import (
    AdmissionController,
    ConcurrencyLimit,
    LiveInstanceCount,
)
from crocusroad_core.configs import FrontRegistry
from crocusroad_core.fronts import Front, RequestKind
from crocusroad_core.gather import Policy
from crocusroad_core.refusals import Refusal
from crocusroad_core.snapshots import VersionSelector
from crocusroad_node.serving._admission import run_admitted
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.serving._crash_guard import NO_GUARD, CrashGuard
from crocusroad_node.serving._fan_out import FanOut
from crocusroad_node.serving._target import find_target
from crocusroad_node.upstreams import Upstreams
from crocusroad_wire import Answer, SearchRequest

MS_PER_SECOND = 1000


class SearchService:
    """Serves searches over the fronts in force."""

    def __init__(
        self,
        book: FrontRegistry,
        upstreams: Upstreams,
        policy_for: Callable[[Front], Policy],
        versions: VersionSelector | None = None,
        guard: CrashGuard = NO_GUARD,
        controller: AdmissionController | None = None,
    ) -> None:
        self._book = book
        self._controller = controller or AdmissionController(
            ConcurrencyLimit(), LiveInstanceCount()
        )
        self._guard = guard
        self._fan_out = FanOut(upstreams, policy_for, versions, guard)

    async def search(self, call: SearchCall) -> Result[Answer, Refusal]:
        """Return the answer to a search, or why it was refused."""
        found = find_target(
            self._book,
            call.front,
            call.token_sha256,
            call.request['kind'],
        )
        if not isinstance(found, Success):
            return Failure(found.failure())
        front, caller, kind = found.unwrap()
        quarantine = self._guard.check(call)
        if quarantine is not None:
            return Failure(quarantine)
        budget = _budget(call.request, kind)
        deadline = asyncio.get_running_loop().time() + budget
        return await run_admitted(
            self._controller,
            (front, caller, kind),
            budget,
            lambda: self._fan_out.run(call, front, kind, deadline),
        )


def _budget(request: SearchRequest, kind: RequestKind) -> float:
    wanted = request.get('deadline_ms')
    if wanted is None:
        return kind.deadline
    return min(kind.deadline, wanted / MS_PER_SECOND)
