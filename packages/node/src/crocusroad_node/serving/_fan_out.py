"""The fan-out of a search to the shards of one snapshot."""

import asyncio
import time
from collections.abc import Callable

from returns.result import Failure, Result, Success

from crocusroad_core.fronts import Front, RequestKind, ShardMap
from crocusroad_core.gather import (
    Attempt,
    FailureReason,
    Finish,
    Gather,
    Outcome,
    Plan,
    Policy,
)
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_core.snapshots import VersionSelector
from crocusroad_node.counters import ATTEMPTS, MISSING_SHARDS, QUERY_OUTCOMES
from crocusroad_node.gathers import AttemptObserver, run_gather
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.serving._crash_guard import NO_GUARD, CrashGuard
from crocusroad_node.upstreams import Upstreams
from crocusroad_wire import (
    Answer,
    ProblemKind,
    UpstreamAnswer,
    UpstreamQuery,
)

DEFAULT_LIMIT = 10  # records of an answer
MS_PER_SECOND = 1000

_PROBLEMS = {
    Outcome.expired: ProblemKind.deadline_exceeded,
    Outcome.failed: ProblemKind.upstream_unavailable,
    Outcome.suspected: ProblemKind.quarantined,
}


class FanOut:
    """Queries every shard of a front and merges the answers."""

    def __init__(
        self,
        upstreams: Upstreams,
        policy_for: Callable[[Front], Policy],
        versions: VersionSelector | None = None,
        guard: CrashGuard = NO_GUARD,
    ) -> None:
        self._upstreams = upstreams
        self._policy_for = policy_for
        self._versions = VersionSelector() if versions is None else versions
        self._guard = guard

    async def run(
        self,
        call: SearchCall,
        front: Front,
        kind: RequestKind,
        deadline: float,
    ) -> Result[Answer, Refusal]:
        """Query the shards of one snapshot; return the answer or the refusal.

        Args:
            call: The search.
            front: The front to search.
            kind: The kind of the request.
            deadline: Time of the event loop's clock at which to give up.
        """
        now = asyncio.get_running_loop().time()
        version = self._versions.choose(front, now)
        if version is None:
            detail = f'no index version of front {front.name!r} is served'
            return Failure(refuse(ProblemKind.no_snapshot, detail))
        context = self._guard.prepare(
            call,
            front.shard_maps[version],
            self._policy_for(front),
            self._upstreams,
        )
        plan = Plan(
            shard_map=context.shard_map,
            limit=call.request.get('limit', DEFAULT_LIMIT),
            deadline=deadline,
            is_repeatable=kind.is_repeatable,
            needs_canary=self._guard.needs_canary(call),
            find_restart_map=self._make_restart_map_finder(front),
        )
        finish = await run_gather(
            Gather(plan, context.policy),
            context.upstreams,
            _make_query_builder(call),
            self._make_observer(call),
        )
        self._guard.on_query_end(call, finish)
        ended_at = asyncio.get_running_loop().time()
        rest_seconds = self._upstreams.rest_seconds(plan.shard_map, ended_at)
        return _conclude_search(call, finish, rest_seconds)

    def _make_restart_map_finder(
        self,
        front: Front,
    ) -> Callable[[int, float], ShardMap | None]:
        def find_restart_map(version: int, now: float) -> ShardMap | None:
            return self._versions.choose_alternative(front, version, now)

        return find_restart_map

    def _make_observer(self, call: SearchCall) -> AttemptObserver:
        versions = self._versions

        def on_answer(
            attempt: Attempt,
            answer: UpstreamAnswer,
            now: float,
        ) -> None:
            served_versions = answer.get('versions')
            if served_versions is None:
                name = attempt.replica.name
                versions.record_served(name, attempt.version, now)
            else:
                versions.record_versions(
                    attempt.replica.name, served_versions, now
                )

        def on_failure(
            attempt: Attempt,
            reason: FailureReason,
            now: float,
        ) -> None:
            if reason is FailureReason.wrong_version:
                name = attempt.replica.name
                versions.record_missing(name, attempt.version, now)
            self._guard.on_attempt_failure(call, attempt, reason, now)

        return AttemptObserver(on_answer, on_failure)


def _make_query_builder(
    call: SearchCall,
) -> Callable[[Attempt, float], UpstreamQuery]:
    request = call.request
    limit = request.get('limit', DEFAULT_LIMIT)

    def build_query(attempt: Attempt, seconds_left: float) -> UpstreamQuery:
        ATTEMPTS.labels(attempt.role.value).inc()
        return UpstreamQuery(
            request_id=f'{call.request_id}.{attempt.serial}',
            shard=attempt.shard,
            version=attempt.version,
            kind=request['kind'],
            query=request['query'],
            limit=limit,
            deadline_ms=int(seconds_left * MS_PER_SECOND),
            expires_at=time.time() + seconds_left,
        )

    return build_query


def _conclude_search(
    call: SearchCall, finish: Finish, rest_seconds: float
) -> Result[Answer, Refusal]:
    QUERY_OUTCOMES.labels(finish.outcome.value).inc()
    for missing in finish.coverage['missing']:
        MISSING_SHARDS.labels(missing['reason']).inc()
    if finish.outcome is Outcome.answered:
        return Success(_make_answer(call, finish))
    reasons = sorted({entry['reason'] for entry in finish.coverage['missing']})
    return Failure(
        refuse(
            _PROBLEMS[finish.outcome],
            f'no shard answered: {", ".join(reasons)}',
            may_have_run=finish.may_have_run,
            retry_after=rest_seconds or None,
        ),
    )


def _make_answer(call: SearchCall, finish: Finish) -> Answer:
    return Answer(
        request_id=call.request_id,
        snapshot=finish.version,
        records=finish.records,
        coverage=finish.coverage,
    )
