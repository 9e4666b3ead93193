"""Execution of a claimed action at one replica, under the crash guard."""

import asyncio
import time
from collections.abc import Callable
from functools import partial

from returns.result import Success

from crocusroad_core.claims import (
    Action,
    ActionCommand,
    ActionDone,
    ActionOutcome,
    SendAction,
)
from crocusroad_core.fronts import Front, ShardMap
from crocusroad_core.gather import Policy
from crocusroad_core.refusals import Refusal
from crocusroad_node.serving._action_plan import (
    ActionPlan,
    build_action_query,
    build_guard_call,
)
from crocusroad_node.serving._crash_guard import (
    NO_GUARD,
    CrashGuard,
    QueryContext,
)
from crocusroad_node.upstreams import QueryResult, Upstreams


class ActionRunner:
    """Runs claimed actions at the replicas that the crash guard allows."""

    def __init__(
        self,
        upstreams: Upstreams,
        policy_for: Callable[[Front], Policy],
        guard: CrashGuard = NO_GUARD,
    ) -> None:
        self._upstreams = upstreams
        self._policy_for = policy_for
        self._guard = guard

    def check_quarantine(self, plan: ActionPlan) -> Refusal | None:
        """Return the refusal of a quarantined action, or None."""
        return self._guard.check(build_guard_call(plan.call))

    async def run(self, plan: ActionPlan, deadline: float) -> ActionDone:
        """Run an action.

        Args:
            plan: The action.
            deadline: Time of the event loop's clock at which to give up.
        """
        if self.check_quarantine(plan) is not None:
            return ActionDone(ActionOutcome.not_run, 'quarantined', [])
        shard = plan.call.request['shard']
        context = self._prepare(plan, shard)
        pick = partial(context.policy.pick, shard)
        action = Action(context.shard_map.shards[shard], pick, deadline)
        command = action.begin(asyncio.get_running_loop().time())
        serial = 0
        while isinstance(command, SendAction):
            serial += 1
            seconds_left = _compute_seconds_left(plan, deadline)
            if seconds_left > 0:
                message = build_action_query(plan, serial, seconds_left)
                query = context.upstreams.query(
                    command.replica, message, seconds_left
                )
                command = _on_result(action, await query)
            else:
                command = _on_failure(action, 'deadline', may_have_run=False)
        return command

    def _prepare(self, plan: ActionPlan, shard: str) -> QueryContext:
        """Return the context in which to query the one shard of the action."""
        version = plan.shard_map.version
        replicas = plan.shard_map.shards[shard]
        return self._guard.prepare(
            build_guard_call(plan.call),
            ShardMap(version, {shard: replicas}),
            self._policy_for(plan.target.front),
            self._upstreams,
        )


def _on_result(action: Action, outcome: QueryResult) -> ActionCommand:
    if isinstance(outcome, Success):
        return action.on_answer(outcome.unwrap()['records'])
    failure = outcome.failure()
    return _on_failure(action, failure.value, may_have_run=failure.may_have_run)


def _on_failure(
    action: Action, reason: str, *, may_have_run: bool
) -> ActionCommand:
    now = asyncio.get_running_loop().time()
    return action.on_failure(reason, now, may_have_run=may_have_run)


def _compute_seconds_left(plan: ActionPlan, deadline: float) -> float:
    # The clock of the event loop may stand still while the process is paused,
    # so the wall clock is checked as well.
    wall_seconds_left = plan.record['not_after'] - time.time()
    return min(wall_seconds_left, deadline - asyncio.get_running_loop().time())
