"""The state of one query: its shards and its attempts in flight."""

from collections.abc import Callable, Iterable

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather._attempt import Attempt, AttemptRole
from crocusroad_core.gather._canary import Canary
from crocusroad_core.gather._command import Cancel, Command, Send
from crocusroad_core.gather._event import FailureReason, Reply
from crocusroad_core.gather._final_answer import (
    REASON_NO_REPLICA,
    REASON_NO_RETRY_LEFT,
)
from crocusroad_core.gather._outcome import Suspect
from crocusroad_core.gather._plan import Plan
from crocusroad_core.gather._policy import Policy
from crocusroad_core.gather._shard_state import ShardState
from crocusroad_core.gather._timers import TimerQueue


def assume_sent(serial: int) -> bool:
    """Tell that an attempt was sent, where that is not tracked."""
    return True


class QueryState:
    """The shards of one query, their attempts and whether any may have run.

    `is_sent` tells whether an attempt, given by its serial, was sent. One that
    still waits for a connection was not.
    """

    def __init__(
        self,
        plan: Plan,
        policy: Policy,
        is_sent: Callable[[int], bool] = assume_sent,
    ) -> None:
        self.is_sent = is_sent
        self.plan = plan
        self.policy = policy
        self.shard_map = plan.shard_map
        self.running: dict[int, Attempt] = {}
        self.shard_states: dict[str, ShardState] = {}
        self.timers = TimerQueue()
        self.canary = Canary(is_needed=plan.needs_canary)
        self.suspects: list[Suspect] = []
        self.may_have_run = False
        self._open_count = 0  # shards that are neither answered nor given up
        self._answered_count = 0  # shards
        self._last_serial = 0
        self._first_role = AttemptRole.first

    @property
    def has_open_shards(self) -> bool:
        """Tell whether a shard is neither answered nor given up."""
        return self._open_count > 0

    @property
    def has_enough_answers(self) -> bool:
        """Tell whether the shards that answered suffice for an answer."""
        return self.plan.is_enough(self._answered_count, len(self.shard_states))

    @property
    def is_unanswerable(self) -> bool:
        """Tell whether too few shards can answer even if all open ones do."""
        max_answered = self._answered_count + self._open_count
        return not self.plan.is_enough(max_answered, len(self.shard_states))

    def start(
        self,
        shard_map: ShardMap,
        now: float,
        role: AttemptRole = AttemptRole.first,
    ) -> list[Command]:
        """Send the first attempts for a shard map, replacing the previous one.

        Nothing is sent while a canary is pending.
        """
        self.shard_map = shard_map
        self._first_role = role
        self.shard_states = {
            shard: ShardState(shard, replicas, self.plan.max_replicas)
            for shard, replicas in shard_map.shards.items()
        }
        self._open_count = len(self.shard_states)
        self._answered_count = 0
        if self.canary.is_pending:
            self.canary.hold(self.shard_states)
            return []
        return self.send_first(self.shard_states, now)

    def send_first(self, shards: Iterable[str], now: float) -> list[Command]:
        """Send the first attempt of each shard."""
        commands: list[Command] = []
        for shard in shards:
            shard_state = self.shard_states[shard]
            replica = self.pick_replica(shard_state, shard_state.replicas, now)
            if replica is None:
                self.give_up(shard_state, REASON_NO_REPLICA)
            elif self.plan.is_retry and not self.spend(
                shard, self._first_role, now
            ):
                self.give_up(shard_state, REASON_NO_RETRY_LEFT)
            else:
                if self._first_role is AttemptRole.restart:
                    # Keeps the restarted attempt from earning budget.
                    self.policy.allow_replacement(False, now)
                commands.append(
                    self.send(shard_state, replica, now, self._first_role)
                )
        return commands

    def spend(self, shard: str, role: AttemptRole, now: float) -> bool:
        """Take an attempt from the budget of a shard, if one is left."""
        policy = self.policy
        is_allowed = policy.spend(shard, now)
        if policy.record_spend is not None:
            policy.record_spend(shard, role, is_allowed)
        return is_allowed

    def discard_unsent(self) -> None:
        """Discard the first attempts, which have not been sent yet."""
        self.running.clear()
        for shard_state in self.shard_states.values():
            shard_state.take_running()

    def set_max_replicas(self, max_replicas: int) -> None:
        """Set how many replicas of each shard may be asked from now on."""
        self.plan = self.plan._replace(max_replicas=max_replicas)
        for shard_state in self.shard_states.values():
            shard_state.max_replicas = max_replicas

    def pick_replica(
        self,
        shard_state: ShardState,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        """Return the replica to ask, or None if none is suitable."""
        if not candidates:
            return None
        return self.policy.pick(shard_state.shard, candidates, now)

    def send(
        self,
        shard_state: ShardState,
        replica: Replica,
        now: float,
        role: AttemptRole,
    ) -> Send:
        """Send an attempt and schedule its hedge."""
        self._last_serial += 1
        version = self.shard_map.version
        attempt = Attempt(
            self._last_serial, shard_state.shard, replica, version, now, role
        )
        self.running[attempt.serial] = attempt
        shard_state.add_attempt(attempt)
        self.schedule_hedge(shard_state.shard, now)
        return Send(attempt, self.plan.deadline)

    def schedule_hedge(self, shard: str, now: float) -> None:
        """Set the timer for the hedge of a shard."""
        delay = None
        if self.plan.is_repeatable:
            delay = self.policy.hedge_delay(shard, now)
        if delay is None:
            self.timers.cancel(shard)
        else:
            self.timers.set(shard, now + delay)

    def accept(self, attempt: Attempt, event: Reply) -> list[Command]:
        """Accept the answer of a shard and cancel its other attempts."""
        del self.running[attempt.serial]
        self.may_have_run = True
        shard_state = self.shard_states[attempt.shard]
        del shard_state.running[attempt.serial]
        shard_state.records = event.records
        self._answered_count += 1
        self._close(shard_state)
        return self.cancel(shard_state.take_running())

    def record_failure(
        self,
        attempt: Attempt,
        reason: FailureReason,
    ) -> ShardState:
        """Record a failed attempt and return the state of its shard."""
        del self.running[attempt.serial]
        shard_state = self.shard_states[attempt.shard]
        shard_state.record_failure(attempt, reason)
        self.canary.record_failure(reason)
        if reason.may_have_run:
            self.may_have_run = True
            suspect = Suspect(attempt.replica.name, shard_state.shard, reason)
            self.suspects.append(suspect)
        return shard_state

    def cancel(self, attempts: list[Attempt]) -> list[Command]:
        """Cancel attempts; those that were sent may have run."""
        commands: list[Command] = []
        for attempt in attempts:
            self.may_have_run |= self.is_sent(attempt.serial)
            del self.running[attempt.serial]
            commands.append(Cancel(attempt))
        return commands

    def give_up(self, shard_state: ShardState, reason: str) -> None:
        """Leave a shard out of the answer."""
        shard_state.missing_reason = reason
        self._close(shard_state)

    def _close(self, shard_state: ShardState) -> None:
        self._open_count -= 1
        self.timers.cancel(shard_state.shard)
