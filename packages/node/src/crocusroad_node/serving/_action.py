"""Actions: admission, claim, run at one replica, record."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from returns.result import Failure, Result, Success

from crocusroad_core.admission import AdmissionController
from crocusroad_core.claims import (
    ActionDone,
    ActionOutcome,
    ClaimDone,
    ClaimOutcome,
    ClaimState,
    encode_ended_claim,
)
from crocusroad_core.configs import FrontRegistry
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_node.claims import ClaimKeeper
from crocusroad_node.counters import ACTIONS
from crocusroad_node.serving._action_plan import (
    ActionCall,
    ActionPlan,
    plan_action,
)
from crocusroad_node.serving._action_run import ActionRunner
from crocusroad_node.serving._admission import run_admitted
from crocusroad_node.serving._target import find_target
from crocusroad_wire import Answer, Coverage, ProblemKind, Record

CLAIM_SECONDS = 3.0  # until a claim that the KV does not take is given up
CLOSE_SECONDS = 5.0  # for what is still to be recorded at the end
RETRY_SECONDS = 1.0

# Why an action that is not held is refused, and whether it may have run.
_REFUSED: Final = {
    ClaimOutcome.unknown: (ProblemKind.outcome_unknown, True),
    ClaimOutcome.in_progress: (ProblemKind.in_progress, True),
    ClaimOutcome.reused: (ProblemKind.key_reused, False),
    ClaimOutcome.unavailable: (ProblemKind.claim_unavailable, False),
}
_ENDED: Final = {
    ActionOutcome.answered: ClaimState.done,
    ActionOutcome.not_run: ClaimState.not_run,
    ActionOutcome.unknown: ClaimState.unknown,
}

T = TypeVar('T')


class ActionService:
    """Runs actions, each at most once over all nodes."""

    def __init__(
        self,
        book: FrontRegistry,
        runner: ActionRunner,
        keeper: ClaimKeeper,
        holder: str,
        controller: AdmissionController,
    ) -> None:
        self._book = book
        self._runner = runner
        self._keeper = keeper
        self._holder = holder
        self._controller = controller
        self._tasks: set[asyncio.Task[Any]] = set()

    async def act(self, call: ActionCall) -> Result[Answer, Refusal]:
        """Return the answer to an action, or why there is none.

        Cancelling the call does not stop the action: its outcome is recorded
        for a repeat.
        """
        target = find_target(
            self._book,
            call.front,
            call.token_sha256,
            call.request['kind'],
        )
        plan = target.bind(
            lambda found: plan_action(call, found, self._holder),
        )
        if not isinstance(plan, Success):
            return Failure(plan.failure())
        return await asyncio.shield(self._start(self._admit(plan.unwrap())))

    async def close(self) -> None:
        """Wait a while until every action has ended and is recorded."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_SECONDS)

    def _start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _admit(self, plan: ActionPlan) -> Result[Answer, Refusal]:
        return await run_admitted(
            self._controller,
            plan.target,
            plan.budget,
            lambda: self._perform(plan),
        )

    async def _perform(self, plan: ActionPlan) -> Result[Answer, Refusal]:
        now = asyncio.get_running_loop().time()
        deadline = now + plan.budget
        claim = await self._keeper.claim(
            plan.claim_key,
            plan.record,
            min(deadline, now + CLAIM_SECONDS),
        )
        if claim.outcome is not ClaimOutcome.held:
            return _unclaimed(plan, claim)
        done = await self._runner.run(plan, deadline)
        ACTIONS.labels(done.outcome.value).inc()
        answer = _answer(plan, done)
        state = _ENDED[done.outcome]
        text = encode_ended_claim(plan.record, state, answer)
        self._start(
            self._keeper.record(plan.claim_key, text, claim.revision),
        )
        if answer is None:
            return Failure(self._ended_refusal(plan, done))
        return Success(answer)

    def _ended_refusal(self, plan: ActionPlan, done: ActionDone) -> Refusal:
        quarantine = None
        if done.outcome is ActionOutcome.not_run:
            quarantine = self._runner.quarantine(plan)
        return quarantine or _ended_refusal(done)


def _unclaimed(plan: ActionPlan, claim: ClaimDone) -> Result[Answer, Refusal]:
    if claim.answer is not None:
        return Success(claim.answer)
    kind, may_have_run = _REFUSED[claim.outcome]
    detail = f'key {plan.key}: {claim.outcome.value}'
    retry_after = None
    if claim.outcome in {ClaimOutcome.in_progress, ClaimOutcome.unavailable}:
        retry_after = RETRY_SECONDS
    return Failure(
        refuse(
            kind, detail, may_have_run=may_have_run, retry_after=retry_after
        ),
    )


def _ended_refusal(done: ActionDone) -> Refusal:
    if done.outcome is ActionOutcome.unknown:
        detail = f'the upstream may have run it: {done.reason}'
        return refuse(ProblemKind.outcome_unknown, detail, may_have_run=True)
    kind = ProblemKind.upstream_unavailable
    if done.reason == 'deadline':
        kind = ProblemKind.deadline_exceeded
    detail = f'no replica has run it: {done.reason}'
    return refuse(kind, detail, retry_after=RETRY_SECONDS)


def _answer(plan: ActionPlan, done: ActionDone) -> Answer | None:
    if done.outcome is not ActionOutcome.answered:
        return None
    records: list[Record] = done.records
    return Answer(
        request_id=plan.call.request_id,
        snapshot=plan.shard_map.version,
        records=records,
        coverage=Coverage(shards=1, answered=1, missing=[]),
    )
