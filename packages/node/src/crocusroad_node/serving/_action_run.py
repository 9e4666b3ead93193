"""The run of a claimed action at one replica, its crashes watched."""

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
    action_message,
    guarded_call,
)
from crocusroad_node.serving._crash_guard import NO_GUARD, CrashGuard, Way
from crocusroad_node.upstreams import QueryResult, Upstreams


class ActionRunner:
    """Runs claimed actions where the crash guard lets them."""

    def __init__(
        self,
        upstreams: Upstreams,
        policy_for: Callable[[Front], Policy],
        guard: CrashGuard = NO_GUARD,
    ) -> None:
        self._upstreams = upstreams
        self._policy_for = policy_for
        self._guard = guard

    def quarantine(self, plan: ActionPlan) -> Refusal | None:
        """Return the refusal of an action known to crash upstreams."""
        return self._guard.check(guarded_call(plan.call))

    async def run(self, plan: ActionPlan, deadline: float) -> ActionDone:
        """Run an action until the deadline, on the loop's clock."""
        if self.quarantine(plan) is not None:
            return ActionDone(ActionOutcome.not_run, 'quarantined', [])
        shard = plan.call.request['shard']
        way = self._way(plan, shard)
        pick = partial(way.policy.pick, shard)
        action = Action(way.shard_map.shards[shard], pick, deadline)
        command = action.begin(asyncio.get_running_loop().time())
        serial = 0
        while isinstance(command, SendAction):
            serial += 1
            left = _time_left(plan, deadline)
            if left > 0:
                message = action_message(plan, serial, left)
                asked = way.upstreams.query(command.replica, message, left)
                command = _after(action, await asked)
            else:
                command = _lost(action, 'deadline', may_have_run=False)
        return command

    def _way(self, plan: ActionPlan, shard: str) -> Way:
        """Return the way to the one shard of the action."""
        version = plan.shard_map.version
        replicas = plan.shard_map.shards[shard]
        return self._guard.steer(
            guarded_call(plan.call),
            ShardMap(version, {shard: replicas}),
            self._policy_for(plan.target.front),
            self._upstreams,
        )


def _after(action: Action, outcome: QueryResult) -> ActionCommand:
    if isinstance(outcome, Success):
        return action.on_answer(outcome.unwrap()['records'])
    lost = outcome.failure()
    return _lost(action, lost.value, may_have_run=lost.may_have_run)


def _lost(action: Action, reason: str, *, may_have_run: bool) -> ActionCommand:
    now = asyncio.get_running_loop().time()
    return action.on_lost(reason, now, may_have_run=may_have_run)


def _time_left(plan: ActionPlan, deadline: float) -> float:
    # Both clocks: the loop's may have stood still while the node was paused.
    by_wall = plan.record['not_after'] - time.time()
    return min(by_wall, deadline - asyncio.get_running_loop().time())
