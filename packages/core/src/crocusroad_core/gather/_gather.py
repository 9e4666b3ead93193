"""The state machine of one fan-out query."""

from crocusroad_core.gather._attempt import Attempt
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._conclude import Ending, conclude
from crocusroad_core.gather._event import AttemptFailure, FailureReason, Reply
from crocusroad_core.gather._flight import Flight
from crocusroad_core.gather._hedges import hedge
from crocusroad_core.gather._part import Part
from crocusroad_core.gather._plan import Plan
from crocusroad_core.gather._policy import Policy
from crocusroad_core.gather._restart import Restart
from crocusroad_core.gather._retries import retry

TIMER_SLACK_SECONDS = 0.001  # a loss this near the deadline is due to it


class Gather:
    """One query in flight: which attempts run and what they brought.

    Each method returns the commands that the driver carries out in order.
    After a `Finish` every further event is ignored.
    """

    def __init__(self, plan: Plan, policy: Policy) -> None:
        self._plan = plan
        self._flight = Flight(plan, policy)
        self._restart = Restart(self._flight)
        self._is_finished = False
        self._is_due = False  # an answer with enough shards may go out
        self._has_waited_for_shards = (
            False  # it was due, and too few shards were in
        )

    @property
    def is_finished(self) -> bool:
        """Tell whether the answer was given."""
        return self._is_finished

    @property
    def has_waited_for_shards(self) -> bool:
        """Tell whether the answer was due and lacked shards."""
        return self._has_waited_for_shards

    @property
    def running(self) -> dict[int, Attempt]:
        """Return the attempts in flight by their serial."""
        return self._flight.running

    def begin(self, now: float) -> list[Command]:
        """Send the first attempts."""
        commands = self._flight.start(self._plan.shard_map, now)
        if self._plan.min_shard_ratio and self._flight.is_hopeless:
            # Nothing is sent in vain, and the refusal may say so.
            self._flight.unsend()
            commands = []
        return self._settle(commands, now)

    def set_max_replicas(self, max_replicas: int, now: float) -> None:
        """Take how many replicas of each shard may be asked from now on.

        Shards that are slow already are looked at once more.
        """
        flight = self._flight
        flight.set_max_replicas(max_replicas)
        for attempt in self.running.values():
            if not flight.alarms.has(attempt.shard):
                flight.alarms.put(attempt.shard, now)

    def next_wake(self) -> float:
        """Return when `on_tick` has to be called at the latest."""
        plan = self._plan
        last = plan.deadline
        if not self._is_due:
            last = min(last, plan.answer_by)
        return min(self._flight.alarms.earliest(), last)

    def on_reply(self, event: Reply, now: float) -> list[Command]:
        """Take the answer of an attempt."""
        attempt = self.running.get(event.serial)
        if self._is_finished or attempt is None:
            return []
        if event.shard != attempt.shard or event.version != attempt.version:
            return self._after_loss(attempt, FailureReason.crossed, now)
        commands = self._flight.accept(attempt, event)
        if self._flight.canary.is_out:
            commands.extend(self._release(now))
        return self._settle(commands, now)

    def on_failure(self, event: AttemptFailure, now: float) -> list[Command]:
        """Take the failure of an attempt."""
        attempt = self.running.get(event.serial)
        if self._is_finished or attempt is None:
            return []
        return self._after_loss(attempt, event.reason, now)

    def on_tick(self, now: float) -> list[Command]:
        """Hedge and ask again what is due; answer at the deadline."""
        if self._is_finished:
            return []
        if now >= self._plan.deadline:
            return self._finish(is_expired=True)
        self._is_due = now >= self._plan.answer_by
        commands: list[Command] = []
        parts = self._flight.parts
        for shard in self._flight.alarms.pop_due(now):
            if parts is self._flight.parts:  # else the query has started over
                commands.extend(self._wake(parts[shard], now))
        commands = self._settle(commands, now)
        self._has_waited_for_shards = self._is_due and not self._is_finished
        return commands

    def _wake(self, part: Part, now: float) -> list[Command]:
        if part.running:
            return hedge(self._flight, part, now)
        part.ask_again()
        return self._again(part, now)

    def _release(self, now: float) -> list[Command]:
        """Ask every shard that was held back."""
        flight = self._flight
        for slow in flight.running.values():
            flight.plan_hedge(slow.shard, now)
        return flight.first(flight.canary.release(), now)

    def _after_loss(
        self,
        attempt: Attempt,
        reason: FailureReason,
        now: float,
    ) -> list[Command]:
        part = self._flight.lose(attempt, reason)
        if self._flight.canary.has_failed:
            return self._finish(is_suspected=True)
        if now + TIMER_SLACK_SECONDS >= self._plan.deadline:
            return self._finish(is_expired=True)
        if part.running:
            return []
        self._flight.alarms.clear(part.shard)
        return self._settle(self._again(part, now), now)

    def _again(self, part: Part, now: float) -> list[Command]:
        """Ask the shard once more, start over, or give the shard up."""
        commands = retry(self._flight, part, now)
        if commands is None:
            return self._restart.move_on(part, now)
        return commands

    def _settle(self, commands: list[Command], now: float) -> list[Command]:
        """Ask the next canary if none is running; finish if all is done."""
        flight = self._flight
        while flight.canary.is_out and not flight.running:
            shard = flight.canary.next_shard()
            if shard is None:
                break
            commands.extend(flight.first((shard,), now))
        if not flight.is_open or self._is_settled():
            commands.extend(self._finish())
        return commands

    def _is_settled(self) -> bool:
        """Tell whether the answer is known though shards are open."""
        flight = self._flight
        if self._plan.min_shard_ratio and flight.is_hopeless:
            return True
        return self._is_due and flight.is_enough

    def _finish(
        self,
        *,
        is_expired: bool = False,
        is_suspected: bool = False,
    ) -> list[Command]:
        flight = self._flight
        self._is_finished = True
        ending = Ending(
            version=flight.shard_map.version,
            plan=self._plan,
            may_have_run=(
                self._plan.is_retry
                or flight.may_have_run
                or bool(flight.running)
            ),
            is_expired=is_expired,
            is_suspected=is_suspected,
            suspects=tuple(flight.suspects),
        )
        answer = conclude(flight.parts.values(), ending)
        losers = flight.cancel(list(flight.running.values()))
        return [*losers, answer]
