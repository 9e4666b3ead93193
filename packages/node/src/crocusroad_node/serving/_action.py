"""The service that runs actions: requests that must not run twice.

An action is admitted, claimed in the KV, run at one replica, and its outcome
is recorded over the claim.
"""

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
from crocusroad_node.claims import ClaimStore
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

# An action is refused if the KV has not accepted its claim by then.
CLAIM_TIMEOUT_SECONDS = 3.0
CLOSE_TIMEOUT_SECONDS = 5.0  # for outcomes not yet recorded at shutdown
RETRY_AFTER_SECONDS = 1.0

# The problem kind of an action whose claim failed, and whether the action may
# have run.
_CLAIM_REFUSALS: Final = {
    ClaimOutcome.unknown: (ProblemKind.outcome_unknown, True),
    ClaimOutcome.in_progress: (ProblemKind.in_progress, True),
    ClaimOutcome.reused: (ProblemKind.key_reused, False),
    ClaimOutcome.unavailable: (ProblemKind.claim_unavailable, False),
}
_FINAL_STATES: Final = {
    ActionOutcome.answered: ClaimState.done,
    ActionOutcome.not_run: ClaimState.not_run,
    ActionOutcome.unknown: ClaimState.unknown,
}

T = TypeVar('T')


class ActionService:
    """Runs actions, each at most once across all instances."""

    def __init__(
        self,
        registry: FrontRegistry,
        runner: ActionRunner,
        claim_store: ClaimStore,
        holder: str,
        controller: AdmissionController,
    ) -> None:
        self._registry = registry
        self._runner = runner
        self._claim_store = claim_store
        self._holder = holder
        self._controller = controller
        self._tasks: set[asyncio.Task[Any]] = set()

    async def execute(self, call: ActionCall) -> Result[Answer, Refusal]:
        """Run an action and return its answer, or the refusal.

        Cancelling the call does not stop the action, whose outcome is
        recorded so that a repeat of the call can return it.
        """
        lookup = find_target(
            self._registry,
            call.front,
            call.token_sha256,
            call.request['kind'],
        )
        plan = lookup.bind(
            lambda target: plan_action(call, target, self._holder),
        )
        if not isinstance(plan, Success):
            return Failure(plan.failure())
        return await asyncio.shield(self._start(self._admit(plan.unwrap())))

    async def close(self) -> None:
        """Wait until every action has ended and its outcome is recorded.

        Returns after `CLOSE_TIMEOUT_SECONDS` at the latest.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_SECONDS)

    def _start(self, coro: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _admit(self, plan: ActionPlan) -> Result[Answer, Refusal]:
        return await run_admitted(
            self._controller,
            plan.target,
            plan.budget,
            lambda: self._claim_and_run(plan),
        )

    async def _claim_and_run(self, plan: ActionPlan) -> Result[Answer, Refusal]:
        now = asyncio.get_running_loop().time()
        deadline = now + plan.budget
        claim = await self._claim_store.claim(
            plan.claim_key,
            plan.record,
            min(deadline, now + CLAIM_TIMEOUT_SECONDS),
        )
        if claim.outcome is not ClaimOutcome.held:
            return _conclude_unclaimed(plan, claim)
        done = await self._runner.run(plan, deadline)
        ACTIONS.labels(done.outcome.value).inc()
        answer = _make_answer(plan, done)
        state = _FINAL_STATES[done.outcome]
        value = encode_ended_claim(plan.record, state, answer)
        self._start(
            self._claim_store.record(plan.claim_key, value, claim.revision),
        )
        if answer is None:
            return Failure(self._refuse(plan, done))
        return Success(answer)

    def _refuse(self, plan: ActionPlan, done: ActionDone) -> Refusal:
        quarantine = None
        if done.outcome is ActionOutcome.not_run:
            quarantine = self._runner.check_quarantine(plan)
        return quarantine or _make_refusal(done)


def _conclude_unclaimed(
    plan: ActionPlan, claim: ClaimDone
) -> Result[Answer, Refusal]:
    if claim.answer is not None:
        return Success(claim.answer)
    kind, may_have_run = _CLAIM_REFUSALS[claim.outcome]
    detail = f'idempotency key {plan.key}: {claim.outcome.value}'
    retry_after = None
    if claim.outcome in {ClaimOutcome.in_progress, ClaimOutcome.unavailable}:
        retry_after = RETRY_AFTER_SECONDS
    return Failure(
        refuse(
            kind, detail, may_have_run=may_have_run, retry_after=retry_after
        ),
    )


def _make_refusal(done: ActionDone) -> Refusal:
    if done.outcome is ActionOutcome.unknown:
        detail = f'the upstream may have run the action: {done.reason}'
        return refuse(ProblemKind.outcome_unknown, detail, may_have_run=True)
    kind = ProblemKind.upstream_unavailable
    if done.reason == 'deadline':
        kind = ProblemKind.deadline_exceeded
    detail = f'no replica ran the action: {done.reason}'
    return refuse(kind, detail, retry_after=RETRY_AFTER_SECONDS)


def _make_answer(plan: ActionPlan, done: ActionDone) -> Answer | None:
    if done.outcome is not ActionOutcome.answered:
        return None
    records: list[Record] = done.records
    return Answer(
        request_id=plan.call.request_id,
        snapshot=plan.shard_map.version,
        records=records,
        coverage=Coverage(shards=1, answered=1, missing=[]),
    )
