"""The state machine of one fan-out query."""

from collections.abc import Iterable, Iterator

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather._alarms import Alarms
from crocusroad_core.gather._attempt import Attempt, AttemptRole
from crocusroad_core.gather._canary import Canary
from crocusroad_core.gather._command import Cancel, Command, Send
from crocusroad_core.gather._conclude import (
    REASON_NO_REPLICA,
    Ending,
    conclude,
)
from crocusroad_core.gather._event import FailureReason, Lost, Reply
from crocusroad_core.gather._outcome import Suspect
from crocusroad_core.gather._part import Part
from crocusroad_core.gather._plan import Plan
from crocusroad_core.gather._policy import Policy

PAUSE_SECONDS = 0.02  # before a replica that refused is asked again
TIMER_SLACK_SECONDS = 0.001  # a loss this near the deadline is due to it
MAX_BREAKS = 2  # upstreams of a shard that may break while they run a query


class Gather:
    """One query in flight: which attempts run and what they brought.

    Each method returns the commands that the driver carries out in order.
    After a `Finish` every further event is ignored.
    """

    def __init__(self, plan: Plan, policy: Policy) -> None:
        self._plan = plan
        self._policy = policy
        self._shard_map = plan.shard_map
        self._serial = 0
        self._running: dict[int, Attempt] = {}
        self._parts: dict[str, Part] = {}
        self._open = 0  # parts that are neither answered nor missing
        self._alarms = Alarms()
        self._canary = Canary(is_needed=plan.needs_canary)
        self._suspects: list[Suspect] = []
        self._may_have_run = False
        self._has_restarted = False
        self._is_finished = False

    @property
    def is_finished(self) -> bool:
        """Tell whether the answer was given."""
        return self._is_finished

    @property
    def running(self) -> dict[int, Attempt]:
        """Return the attempts in flight by their serial."""
        return self._running

    def begin(self, now: float) -> list[Command]:
        """Send the first attempts."""
        return self._settle(self._start(self._plan.shard_map, now), now)

    def next_wake(self) -> float:
        """Return when `on_tick` has to be called at the latest."""
        return min(self._alarms.earliest(), self._plan.deadline)

    def on_reply(self, event: Reply, now: float) -> list[Command]:
        """Take the answer of an attempt."""
        attempt = self._running.get(event.serial)
        if self._is_finished or attempt is None:
            return []
        if event.shard != attempt.shard or event.version != attempt.version:
            return self._after_loss(attempt, FailureReason.crossed, now)
        del self._running[event.serial]
        return self._settle(self._accept(attempt, event, now), now)

    def on_lost(self, event: Lost, now: float) -> list[Command]:
        """Take the failure of an attempt."""
        attempt = self._running.get(event.serial)
        if self._is_finished or attempt is None:
            return []
        return self._after_loss(attempt, event.reason, now)

    def on_tick(self, now: float) -> list[Command]:
        """Hedge and ask again what is due; answer at the deadline."""
        if self._is_finished:
            return []
        if now >= self._plan.deadline:
            return self._finish(is_expired=True)
        commands: list[Command] = []
        parts = self._parts
        for shard in self._alarms.pop_due(now):
            if parts is self._parts:  # else the query has started over
                commands.extend(self._wake(parts[shard], now))
        return self._settle(commands, now)

    def _start(
        self,
        shard_map: ShardMap,
        now: float,
        role: AttemptRole = AttemptRole.first,
    ) -> list[Command]:
        self._shard_map = shard_map
        self._parts = {
            shard: Part(shard, replicas)
            for shard, replicas in shard_map.shards.items()
        }
        self._open = len(self._parts)
        if self._canary.is_out:
            self._canary.hold(self._parts)
            return []
        return self._first(self._parts, now, role)

    def _first(
        self,
        shards: Iterable[str],
        now: float,
        role: AttemptRole = AttemptRole.first,
    ) -> list[Command]:
        commands: list[Command] = []
        for shard in shards:
            part = self._parts[shard]
            replica = self._choose(part, part.replicas, now)
            if replica is None:
                self._give_up(part, REASON_NO_REPLICA)
            else:
                commands.append(self._send(part, replica, now, role))
        return commands

    def _choose(
        self,
        part: Part,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        if not candidates:
            return None
        return self._policy.pick(part.shard, candidates, now)

    def _send(
        self,
        part: Part,
        replica: Replica,
        now: float,
        role: AttemptRole,
    ) -> Send:
        self._serial += 1
        version = self._shard_map.version
        attempt = Attempt(self._serial, part.shard, replica, version, now, role)
        self._running[attempt.serial] = attempt
        part.start(attempt)
        self._plan_hedge(part.shard, now)
        return Send(attempt, self._plan.deadline)

    def _plan_hedge(self, shard: str, now: float) -> None:
        delay = None
        if self._plan.is_repeatable:
            delay = self._policy.hedge_delay(shard, now)
        if delay is None:
            self._alarms.clear(shard)
        else:
            self._alarms.put(shard, now + delay)

    def _wake(self, part: Part, now: float) -> Iterator[Command]:
        if not part.running:
            part.ask_again()
            yield from self._again(part, now)
        elif self._canary.is_out:
            yield from self._hedge_canary(part, now)
        else:
            yield from self._hedge(part, now)

    def _hedge(self, part: Part, now: float) -> Iterator[Command]:
        if not self._canary.allows(len(self._running)):
            return
        if not part.untried():
            part.ask_again()
        replica = self._choose(part, part.untried(), now)
        if replica is None:
            return
        if self._policy.spend(now):
            yield self._send(part, replica, now, AttemptRole.hedge)
        else:
            self._plan_hedge(part.shard, now)

    def _hedge_canary(self, part: Part, now: float) -> Iterator[Command]:
        """Ask another shard, which is no extra load, before hedging."""
        if not self._canary.allows(len(self._running)):
            return
        shard = self._canary.next_shard()
        if shard is None:
            yield from self._hedge(part, now)
        else:
            yield from self._first((shard,), now)

    def _accept(
        self,
        attempt: Attempt,
        event: Reply,
        now: float,
    ) -> list[Command]:
        self._may_have_run = True
        part = self._parts[attempt.shard]
        del part.running[attempt.serial]
        part.records = event.records
        self._open -= 1
        self._alarms.clear(part.shard)
        commands = self._cancel(part.stop())
        if self._canary.is_out:
            for slow in self._running.values():
                self._plan_hedge(slow.shard, now)
            commands.extend(self._first(self._canary.release(), now))
        return commands

    def _cancel(self, losers: list[Attempt]) -> list[Command]:
        commands: list[Command] = []
        for loser in losers:
            self._may_have_run = True
            del self._running[loser.serial]
            commands.append(Cancel(loser))
        return commands

    def _after_loss(
        self,
        attempt: Attempt,
        reason: FailureReason,
        now: float,
    ) -> list[Command]:
        del self._running[attempt.serial]
        part = self._parts[attempt.shard]
        part.lose(attempt, reason)
        self._canary.note_loss(reason)
        if reason.may_have_run:
            self._may_have_run = True
            suspect = Suspect(attempt.replica.name, part.shard, reason)
            self._suspects.append(suspect)
        if self._canary.has_failed:
            return self._finish(is_suspected=True)
        if now + TIMER_SLACK_SECONDS >= self._plan.deadline:
            return self._finish(is_expired=True)
        if part.running:
            return []
        self._alarms.clear(part.shard)
        return self._settle(self._again(part, now), now)

    def _again(self, part: Part, now: float) -> Iterator[Command]:
        """Ask the shard once more, or give it up."""
        if not self._may_repeat(part, now):
            yield from self._move_on(part, now)
        elif not self._canary.allows(len(self._running)):
            self._alarms.put(part.shard, now + PAUSE_SECONDS)
        else:
            yield from self._replace(part, now)

    def _may_repeat(self, part: Part, now: float) -> bool:
        if part.may_have_run and not self._plan.is_repeatable:
            return False
        return part.breaks < MAX_BREAKS and now < self._plan.deadline

    def _replace(self, part: Part, now: float) -> Iterator[Command]:
        replica = self._choose(part, part.untried(), now)
        if replica is None and part.second:
            self._alarms.put(part.shard, now + PAUSE_SECONDS)
            return
        role = None if replica is None else self._role(part, now)
        if replica is None or role is None:
            yield from self._move_on(part, now)
        else:
            yield self._send(part, replica, now, role)

    def _role(self, part: Part, now: float) -> AttemptRole | None:
        """Return the role of one more attempt; None if the budget forbids."""
        if not part.may_have_run:
            return AttemptRole.replacement
        if self._policy.spend(now):
            return AttemptRole.retry
        return AttemptRole.replacement if part.has_only_broken else None

    def _move_on(self, part: Part, now: float) -> Iterator[Command]:
        """Start over on another version, or answer without the shard."""
        shard_map = self._other_map(part, now)
        if shard_map is None:
            self._give_up(part, part.losses[-1].value)
            return
        self._has_restarted = True
        self._alarms.clear_all()
        yield from self._cancel(list(self._running.values()))
        yield from self._start(shard_map, now, AttemptRole.restart)

    def _other_map(self, part: Part, now: float) -> ShardMap | None:
        another = self._plan.another
        is_late = now >= self._plan.deadline
        if another is None or self._has_restarted or is_late:
            return None
        if not part.has_moved_on:
            return None
        if self._may_have_run and not self._plan.is_repeatable:
            return None
        version = self._shard_map.version
        shard_map = another(version, now)
        if shard_map is None or shard_map.version == version:
            return None
        return shard_map

    def _give_up(self, part: Part, reason: str) -> None:
        part.missing = reason
        self._open -= 1
        self._alarms.clear(part.shard)

    def _settle(
        self,
        commands: Iterable[Command],
        now: float,
    ) -> list[Command]:
        """Ask the next canary if none is running; finish if all is done."""
        every = list(commands)
        while self._canary.is_out and not self._running:
            shard = self._canary.next_shard()
            if shard is None:
                break
            every.extend(self._first((shard,), now))
        if not self._open:
            every.extend(self._finish())
        return every

    def _finish(
        self,
        *,
        is_expired: bool = False,
        is_suspected: bool = False,
    ) -> list[Command]:
        self._is_finished = True
        ending = Ending(
            version=self._shard_map.version,
            limit=self._plan.limit,
            may_have_run=self._may_have_run or bool(self._running),
            is_expired=is_expired,
            is_suspected=is_suspected,
            suspects=tuple(self._suspects),
        )
        answer = conclude(self._parts.values(), ending)
        losers = self._cancel(list(self._running.values()))
        return [*losers, answer]
