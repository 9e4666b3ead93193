"""The state machine of one fan-out query."""

from collections.abc import Callable

from crocusroad_core.gather._attempt import Attempt
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._event import AttemptFailure, FailureReason, Reply
from crocusroad_core.gather._final_answer import FinalState, build_final_answer
from crocusroad_core.gather._hedge import hedge
from crocusroad_core.gather._plan import Plan
from crocusroad_core.gather._policy import Policy
from crocusroad_core.gather._query_state import QueryState, assume_sent
from crocusroad_core.gather._restart import Restart
from crocusroad_core.gather._retry import retry
from crocusroad_core.gather._shard_state import ShardState

# A failure this close to the deadline counts as expiry.
TIMER_SLACK_SECONDS = 0.001


class Gather:
    """The state machine of one query: turns events into commands.

    The driver executes the commands that a method returns, in order. Events
    after a `Finish` are ignored. `is_sent` tells whether an attempt, given by
    its serial, was sent.
    """

    def __init__(
        self,
        plan: Plan,
        policy: Policy,
        is_sent: Callable[[int], bool] = assume_sent,
    ) -> None:
        self._plan = plan
        self._query = QueryState(plan, policy, is_sent)
        self._restart = Restart(self._query)
        self._is_finished = False
        self._is_answer_due = False  # an answer with enough shards may go out
        self._has_waited_for_shards = False

    @property
    def is_finished(self) -> bool:
        """Tell whether the answer was returned."""
        return self._is_finished

    @property
    def has_waited_for_shards(self) -> bool:
        """Tell whether too few shards had answered when the answer was due."""
        return self._has_waited_for_shards

    @property
    def running(self) -> dict[int, Attempt]:
        """Return the attempts in flight by serial."""
        return self._query.running

    def begin(self, now: float) -> list[Command]:
        """Send the first attempts."""
        commands = self._query.start(self._plan.shard_map, now)
        if self._plan.min_shard_ratio and self._query.is_unanswerable:
            # Too few shards can be asked. Nothing is sent, so the refusal can
            # state that the query has not run.
            self._query.discard_unsent()
            commands = []
        return self._advance(commands, now)

    def set_max_replicas(self, max_replicas: int, now: float) -> None:
        """Set how many replicas of each shard may be asked from now on.

        Shards whose hedge time has passed are considered for a hedge again.
        """
        query = self._query
        query.set_max_replicas(max_replicas)
        for attempt in self.running.values():
            if not query.timers.has(attempt.shard):
                query.timers.set(attempt.shard, now)

    def limit_deadline(self, deadline: float) -> None:
        """End the query at `deadline` unless it ends earlier anyway."""
        earlier = min(deadline, self._plan.deadline)
        self._plan = self._plan._replace(deadline=earlier)
        self._query.plan = self._query.plan._replace(deadline=earlier)

    def next_wake(self) -> float:
        """Return the time at which `on_tick` has to be called."""
        plan = self._plan
        latest = plan.deadline
        if not self._is_answer_due:
            latest = min(latest, plan.answer_by)
        return min(self._query.timers.earliest(), latest)

    def on_reply(self, event: Reply, now: float) -> list[Command]:
        """Handle the answer of an attempt."""
        attempt = self.running.get(event.serial)
        if self._is_finished or attempt is None:
            return []
        if event.shard != attempt.shard or event.version != attempt.version:
            return self._after_failure(attempt, FailureReason.crossed, now)
        commands = self._query.accept(attempt, event)
        if self._query.canary.is_pending:
            commands.extend(self._release_held_shards(now))
        return self._advance(commands, now)

    def on_failure(self, event: AttemptFailure, now: float) -> list[Command]:
        """Handle the failure of an attempt."""
        attempt = self.running.get(event.serial)
        if self._is_finished or attempt is None:
            return []
        return self._after_failure(attempt, event.reason, now)

    def on_tick(self, now: float) -> list[Command]:
        """Send the hedges and retries that are due; finish at the deadline."""
        if self._is_finished:
            return []
        if now >= self._plan.deadline:
            return self._finish(is_expired=True)
        self._is_answer_due = now >= self._plan.answer_by
        commands: list[Command] = []
        shard_states = self._query.shard_states
        for shard in self._query.timers.pop_due(now):
            # The states are replaced if the query restarts in this loop.
            if shard_states is self._query.shard_states:
                commands.extend(self._on_timer(shard_states[shard], now))
        commands = self._advance(commands, now)
        self._has_waited_for_shards = (
            self._is_answer_due and not self._is_finished
        )
        return commands

    def _on_timer(self, shard_state: ShardState, now: float) -> list[Command]:
        if shard_state.running:
            return hedge(self._query, shard_state, now)
        shard_state.readmit_refused()
        return self._ask_again(shard_state, now)

    def _release_held_shards(self, now: float) -> list[Command]:
        """Send the first attempts of the shards that the canary held back."""
        query = self._query
        for attempt in query.running.values():
            query.schedule_hedge(attempt.shard, now)
        return query.send_first(query.canary.release(), now)

    def _after_failure(
        self,
        attempt: Attempt,
        reason: FailureReason,
        now: float,
    ) -> list[Command]:
        shard_state = self._query.record_failure(attempt, reason)
        if self._query.canary.has_failed:
            return self._finish(is_suspected=True)
        if now + TIMER_SLACK_SECONDS >= self._plan.deadline:
            return self._finish(is_expired=True)
        if shard_state.running:
            return []
        self._query.timers.cancel(shard_state.shard)
        return self._advance(self._ask_again(shard_state, now), now)

    def _ask_again(self, shard_state: ShardState, now: float) -> list[Command]:
        """Retry the shard, restart the query, or give the shard up."""
        commands = retry(self._query, shard_state, now)
        if commands is None:
            return self._restart.restart_or_give_up(shard_state, now)
        return commands

    def _advance(self, commands: list[Command], now: float) -> list[Command]:
        """Send the next canary if none is running; finish if it is time."""
        query = self._query
        while query.canary.is_pending and not query.running:
            shard = query.canary.next_shard()
            if shard is None:
                break
            commands.extend(query.send_first((shard,), now))
        if not query.has_open_shards or self._is_decided():
            commands.extend(self._finish())
        return commands

    def _is_decided(self) -> bool:
        """Tell whether to finish although shards are open."""
        query = self._query
        if self._plan.min_shard_ratio and query.is_unanswerable:
            return True
        return self._is_answer_due and query.has_enough_answers

    def _finish(
        self,
        *,
        is_expired: bool = False,
        is_suspected: bool = False,
    ) -> list[Command]:
        query = self._query
        self._is_finished = True
        has_run_left = any(query.is_sent(serial) for serial in query.running)
        final = FinalState(
            version=query.shard_map.version,
            plan=self._plan,
            may_have_run=(
                self._plan.is_retry or query.may_have_run or has_run_left
            ),
            is_expired=is_expired,
            is_suspected=is_suspected,
            suspects=tuple(query.suspects),
        )
        answer = build_final_answer(query.shard_states.values(), final)
        cancels = query.cancel(list(query.running.values()))
        return [*cancels, answer]
