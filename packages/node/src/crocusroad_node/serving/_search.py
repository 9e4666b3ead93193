"""Searches: admission, snapshot, fan-out, merge."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from crocusroad_core.configs import FrontBook
from crocusroad_core.fronts import Front, RequestKind
from crocusroad_core.gather import Attempt, Finish, Gather, Plan, Policy
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.counters import ATTEMPTS, MISSING
from crocusroad_node.gathers import run_gather
from crocusroad_node.upstreams import Upstreams
from crocusroad_wire import (
    Answer,
    ProblemKind,
    SearchRequest,
    UpstreamQuery,
)

DEFAULT_LIMIT = 10
MS_PER_SECOND = 1000


class SearchCall(NamedTuple):
    """One search of a caller."""

    request_id: str
    front: str
    token_sha256: str
    request: SearchRequest


class _Admitted(NamedTuple):
    front: Front
    kind: RequestKind


class SearchService:
    """Serves searches over the fronts in force."""

    def __init__(
        self,
        book: FrontBook,
        upstreams: Upstreams,
        policy_for: Callable[[Front], Policy],
    ) -> None:
        self._book = book
        self._upstreams = upstreams
        self._policy_for = policy_for

    async def search(self, call: SearchCall) -> Result[Answer, Refusal]:
        """Return the answer to a search, or why it was refused."""
        admitted = self._admit(call)
        if not isinstance(admitted, Success):
            return Failure(admitted.failure())
        front, kind = admitted.unwrap()
        shard_map = front.shard_maps[max(front.shard_maps)]
        budget = _budget(call.request, kind)
        plan = Plan(
            shard_map=shard_map,
            limit=call.request.get('limit', DEFAULT_LIMIT),
            deadline=asyncio.get_running_loop().time() + budget,
            is_repeatable=kind.is_repeatable,
        )
        finish = await run_gather(
            Gather(plan, self._policy_for(front)),
            self._upstreams,
            _message_maker(call),
        )
        return Success(_answer(call, finish))

    def _admit(self, call: SearchCall) -> Result[_Admitted, Refusal]:
        front = self._book.find(call.front)
        if front is None:
            kind = ProblemKind.unknown_front
            return Failure(refuse(kind, f'no front {call.front!r}'))
        if call.token_sha256 not in front.callers:
            detail = f'the front {front.name!r} does not know this token'
            return Failure(refuse(ProblemKind.unauthorized, detail))
        wanted = call.request['kind']
        accepted = front.kinds.get(wanted)
        if accepted is None:
            detail = f'the front {front.name!r} has no kind {wanted!r}'
            return Failure(refuse(ProblemKind.unknown_kind, detail))
        return Success(_Admitted(front, accepted))


def _budget(request: SearchRequest, kind: RequestKind) -> float:
    wanted = request.get('deadline_ms')
    if wanted is None:
        return kind.deadline
    return min(kind.deadline, wanted / MS_PER_SECOND)


def _message_maker(
    call: SearchCall,
) -> Callable[[Attempt, float], UpstreamQuery]:
    request = call.request
    limit = request.get('limit', DEFAULT_LIMIT)

    def make(attempt: Attempt, left: float) -> UpstreamQuery:
        ATTEMPTS.labels('extra' if attempt.is_extra else 'first').inc()
        return UpstreamQuery(
            request_id=f'{call.request_id}.{attempt.serial}',
            shard=attempt.shard,
            version=attempt.version,
            kind=request['kind'],
            query=request['query'],
            limit=limit,
            deadline_ms=int(left * MS_PER_SECOND),
            expires_at=time.time() + left,
        )

    return make


def _answer(call: SearchCall, finish: Finish) -> Answer:
    for missing in finish.coverage['missing']:
        MISSING.labels(missing['reason']).inc()
    return Answer(
        request_id=call.request_id,
        snapshot=finish.version,
        records=finish.records,
        coverage=finish.coverage,
    )
