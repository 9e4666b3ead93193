"""The service that answers searches."""

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
    """Admits searches of the fronts in force and fans them out."""

    def __init__(
        self,
        registry: FrontRegistry,
        upstreams: Upstreams,
        policy_for: Callable[[Front], Policy],
        versions: VersionSelector | None = None,
        guard: CrashGuard = NO_GUARD,
        controller: AdmissionController | None = None,
    ) -> None:
        self._registry = registry
        self._controller = controller or AdmissionController(
            ConcurrencyLimit(), LiveInstanceCount()
        )
        self._guard = guard
        self._fan_out = FanOut(upstreams, policy_for, versions, guard)

    async def search(self, call: SearchCall) -> Result[Answer, Refusal]:
        """Run a search and return its answer, or the refusal."""
        lookup = find_target(
            self._registry,
            call.front,
            call.token_sha256,
            call.request['kind'],
        )
        if not isinstance(lookup, Success):
            return Failure(lookup.failure())
        front, caller, kind = lookup.unwrap()
        quarantine = self._guard.check(call)
        if quarantine is not None:
            return Failure(quarantine)
        budget = _compute_budget(call.request, kind)
        deadline = asyncio.get_running_loop().time() + budget
        return await run_admitted(
            self._controller,
            (front, caller, kind),
            budget,
            lambda: self._fan_out.run(call, front, kind, deadline),
        )


def _compute_budget(request: SearchRequest, kind: RequestKind) -> float:
    requested_ms = request.get('deadline_ms')
    if requested_ms is None:
        return kind.deadline
    return min(kind.deadline, requested_ms / MS_PER_SECOND)
