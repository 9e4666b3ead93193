"""The state machine of one fan-out query."""

from collections.abc import Iterator

from crocusroad_core.fronts import Replica
from crocusroad_core.gather._attempt import Attempt
from crocusroad_core.gather._command import Cancel, Command, Finish, Send
from crocusroad_core.gather._event import Lost, Reply
from crocusroad_core.gather._merge import merge_records
from crocusroad_core.gather._plan import Plan
from crocusroad_core.gather._policy import Policy
from crocusroad_wire import Coverage, MissingShard, Record

REASON_DEADLINE = 'deadline'
REASON_NO_REPLICA = 'no-replica'


class Gather:
    """One query in flight: which attempts run and what they brought.

    Each method returns the commands that the driver carries out in order.
    After a `Finish` every further event is ignored.
    """

    def __init__(self, plan: Plan, policy: Policy) -> None:
        self._plan = plan
        self._policy = policy
        self._serial = 0
        self._running: dict[int, Attempt] = {}
        self._tried: dict[str, set[str]] = {}
        self._hedge_at: dict[str, float] = {}
        self._parts: dict[str, list[Record]] = {}
        self._missing: dict[str, str] = {}
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
        """Send the first attempt of every shard."""
        commands: list[Command] = []
        for shard in self._plan.shard_map.shards:
            self._tried[shard] = set()
            commands.extend(self._first(shard, now))
        commands.extend(self._finish_if_done())
        return commands

    def next_wake(self) -> float:
        """Return when `on_tick` has to be called at the latest."""
        hedge = min(self._hedge_at.values(), default=self._plan.deadline)
        return min(hedge, self._plan.deadline)

    def on_reply(self, event: Reply, now: float) -> list[Command]:
        """Take the answer of an attempt."""
        attempt = self._running.pop(event.serial, None)
        if self._is_finished or attempt is None:
            return []
        if event.shard != attempt.shard or event.version != attempt.version:
            return self._after_loss(attempt, 'crossed', now)
        return self._accept(attempt.shard, event.records)

    def on_lost(self, event: Lost, now: float) -> list[Command]:
        """Take the failure of an attempt."""
        attempt = self._running.pop(event.serial, None)
        if self._is_finished or attempt is None:
            return []
        return self._after_loss(attempt, event.reason.value, now)

    def on_tick(self, now: float) -> list[Command]:
        """Hedge what is due; answer with what there is at the deadline."""
        if self._is_finished:
            return []
        if now >= self._plan.deadline:
            return self._expire()
        due = [shard for shard, when in self._hedge_at.items() if when <= now]
        commands: list[Command] = []
        for shard in due:
            del self._hedge_at[shard]
            commands.extend(self._extra(shard, now))
        return commands

    def _first(self, shard: str, now: float) -> Iterator[Command]:
        replica = self._choose(shard, now)
        if replica is None:
            self._missing[shard] = REASON_NO_REPLICA
            return
        yield self._send(shard, replica, now, is_extra=False)

    def _choose(self, shard: str, now: float) -> Replica | None:
        tried = self._tried[shard]
        every = self._plan.shard_map.shards[shard]
        candidates = tuple(entry for entry in every if entry.name not in tried)
        if not candidates:
            return None
        return self._policy.pick(shard, candidates, now)

    def _send(
        self,
        shard: str,
        replica: Replica,
        now: float,
        *,
        is_extra: bool,
    ) -> Send:
        self._serial += 1
        version = self._plan.shard_map.version
        attempt = Attempt(self._serial, shard, replica, version, now, is_extra)
        self._running[attempt.serial] = attempt
        self._tried[shard].add(replica.name)
        self._plan_hedge(shard, now)
        return Send(attempt, self._plan.deadline)

    def _plan_hedge(self, shard: str, now: float) -> None:
        delay = None
        if self._plan.is_repeatable:
            delay = self._policy.hedge_delay(shard, now)
        if delay is not None:
            self._hedge_at[shard] = now + delay

    def _extra(self, shard: str, now: float) -> Iterator[Command]:
        replica = self._choose(shard, now)
        if replica is not None and self._policy.spend(now):
            yield self._send(shard, replica, now, is_extra=True)

    def _accept(self, shard: str, records: list[Record]) -> list[Command]:
        self._parts[shard] = records
        self._hedge_at.pop(shard, None)
        commands: list[Command] = []
        for loser in self._rivals(shard):
            del self._running[loser.serial]
            commands.append(Cancel(loser))
        commands.extend(self._finish_if_done())
        return commands

    def _rivals(self, shard: str) -> list[Attempt]:
        return [one for one in self._running.values() if one.shard == shard]

    def _after_loss(
        self,
        attempt: Attempt,
        reason: str,
        now: float,
    ) -> list[Command]:
        shard = attempt.shard
        commands: list[Command] = []
        if self._plan.is_repeatable:
            commands.extend(self._extra(shard, now))
        if not commands and not self._rivals(shard):
            self._missing[shard] = reason
            self._hedge_at.pop(shard, None)
        commands.extend(self._finish_if_done())
        return commands

    def _expire(self) -> list[Command]:
        for attempt in self._running.values():
            self._missing[attempt.shard] = REASON_DEADLINE
        losers = list(self._running.values())
        self._running.clear()
        return [*(Cancel(loser) for loser in losers), self._finish()]

    def _finish_if_done(self) -> Iterator[Command]:
        settled = len(self._parts) + len(self._missing)
        if settled == len(self._plan.shard_map.shards):
            yield self._finish()

    def _finish(self) -> Finish:
        self._is_finished = True
        plan = self._plan
        missing = [
            MissingShard(shard=shard, reason=reason)
            for shard, reason in self._missing.items()
        ]
        coverage = Coverage(
            shards=len(plan.shard_map.shards),
            answered=len(self._parts),
            missing=missing,
        )
        records = merge_records(self._parts.values(), plan.limit)
        return Finish(plan.shard_map.version, records, coverage)
