"""The shards of one query and its attempts in flight."""

from collections.abc import Iterable

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.gather._alarms import Alarms
from crocusroad_core.gather._attempt import Attempt, AttemptRole
from crocusroad_core.gather._canary import Canary
from crocusroad_core.gather._command import Cancel, Command, Send
from crocusroad_core.gather._conclude import (
    REASON_NO_REPEAT,
    REASON_NO_REPLICA,
)
from crocusroad_core.gather._event import FailureReason, Reply
from crocusroad_core.gather._outcome import Suspect
from crocusroad_core.gather._part import Part
from crocusroad_core.gather._plan import Plan
from crocusroad_core.gather._policy import Policy


class Flight:
    """The parts of one query, what runs for them and what may have run."""

    def __init__(self, plan: Plan, policy: Policy) -> None:
        self.plan = plan
        self.policy = policy
        self.shard_map = plan.shard_map
        self.running: dict[int, Attempt] = {}
        self.parts: dict[str, Part] = {}
        self.alarms = Alarms()
        self.canary = Canary(is_needed=plan.needs_canary)
        self.suspects: list[Suspect] = []
        self.may_have_run = False
        self._open = 0  # parts that are neither answered nor missing
        self._answered = 0  # parts
        self._serial = 0
        self._first_role = AttemptRole.first

    @property
    def is_open(self) -> bool:
        """Tell whether a part is neither answered nor missing."""
        return self._open > 0

    @property
    def is_enough(self) -> bool:
        """Tell whether the parts that answered make an answer."""
        return self.plan.is_enough(self._answered, len(self.parts))

    @property
    def is_hopeless(self) -> bool:
        """Tell whether the parts still open cannot make an answer."""
        most = self._answered + self._open
        return not self.plan.is_enough(most, len(self.parts))

    def start(
        self,
        shard_map: ShardMap,
        now: float,
        role: AttemptRole = AttemptRole.first,
    ) -> list[Command]:
        """Begin with the shards of a map, in place of those before."""
        self.shard_map = shard_map
        self._first_role = role
        self.parts = {
            shard: Part(shard, replicas, self.plan.max_replicas)
            for shard, replicas in shard_map.shards.items()
        }
        self._open = len(self.parts)
        self._answered = 0
        if self.canary.is_out:
            self.canary.hold(self.parts)
            return []
        return self.first(self.parts, now)

    def first(self, shards: Iterable[str], now: float) -> list[Command]:
        """Send the first attempt of each shard."""
        commands: list[Command] = []
        for shard in shards:
            part = self.parts[shard]
            replica = self.choose(part, part.replicas, now)
            if replica is None:
                self.give_up(part, REASON_NO_REPLICA)
            elif self.plan.is_retry and not self.policy.spend(shard, now):
                self.give_up(part, REASON_NO_REPEAT)
            else:
                if self._first_role is AttemptRole.restart:
                    self.policy.allow_replacement(
                        False, now
                    )  # so that it earns nothing
                commands.append(self.send(part, replica, now, self._first_role))
        return commands

    def unsend(self) -> None:
        """Forget the first attempts, which have not been sent yet."""
        self.running.clear()
        for part in self.parts.values():
            part.stop()

    def set_max_replicas(self, max_replicas: int) -> None:
        """Take how many replicas of each shard may be asked from now on."""
        self.plan = self.plan._replace(max_replicas=max_replicas)
        for part in self.parts.values():
            part.max_replicas = max_replicas

    def choose(
        self,
        part: Part,
        candidates: tuple[Replica, ...],
        now: float,
    ) -> Replica | None:
        """Return the replica to ask; None if none will do."""
        if not candidates:
            return None
        return self.policy.pick(part.shard, candidates, now)

    def send(
        self,
        part: Part,
        replica: Replica,
        now: float,
        role: AttemptRole,
    ) -> Send:
        """Send an attempt and set the moment of its hedge."""
        self._serial += 1
        version = self.shard_map.version
        attempt = Attempt(self._serial, part.shard, replica, version, now, role)
        self.running[attempt.serial] = attempt
        part.start(attempt)
        self.plan_hedge(part.shard, now)
        return Send(attempt, self.plan.deadline)

    def plan_hedge(self, shard: str, now: float) -> None:
        """Set the moment at which a shard is hedged."""
        delay = None
        if self.plan.is_repeatable:
            delay = self.policy.hedge_delay(shard, now)
        if delay is None:
            self.alarms.clear(shard)
        else:
            self.alarms.put(shard, now + delay)

    def accept(self, attempt: Attempt, event: Reply) -> list[Command]:
        """Take the answer of a shard; cancel its other attempts."""
        del self.running[attempt.serial]
        self.may_have_run = True
        part = self.parts[attempt.shard]
        del part.running[attempt.serial]
        part.records = event.records
        self._answered += 1
        self._close(part)
        return self.cancel(part.stop())

    def lose(self, attempt: Attempt, reason: FailureReason) -> Part:
        """Note a failed attempt; return its part."""
        del self.running[attempt.serial]
        part = self.parts[attempt.shard]
        part.lose(attempt, reason)
        self.canary.note_loss(reason)
        if reason.may_have_run:
            self.may_have_run = True
            suspect = Suspect(attempt.replica.name, part.shard, reason)
            self.suspects.append(suspect)
        return part

    def cancel(self, losers: list[Attempt]) -> list[Command]:
        """Cancel attempts, which may have run."""
        commands: list[Command] = []
        for loser in losers:
            self.may_have_run = True
            del self.running[loser.serial]
            commands.append(Cancel(loser))
        return commands

    def give_up(self, part: Part, reason: str) -> None:
        """Leave a shard out of the answer."""
        part.missing = reason
        self._close(part)

    def _close(self, part: Part) -> None:
        self._open -= 1
        self.alarms.clear(part.shard)
