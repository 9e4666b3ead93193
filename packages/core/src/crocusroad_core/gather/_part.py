"""What a query knows of one of its shards."""

from typing import Any

from crocusroad_core.fronts import Replica
from crocusroad_core.gather._attempt import Attempt
from crocusroad_core.gather._event import FailureReason

# Refusals that may turn into an answer when asked again soon.
_PASSING = frozenset((FailureReason.shed, FailureReason.no_connection))


class Part:
    """One shard of a query: its attempts and what they brought."""

    __slots__ = (
        'asked',
        'asked_again',
        'breaks',
        'has_replaced',
        'losses',
        'max_replicas',
        'missing',
        'pauses',
        'records',
        'replicas',
        'running',
        'second',
        'shard',
        'tried',
    )

    def __init__(
        self,
        shard: str,
        replicas: tuple[Replica, ...],
        max_replicas: int = 0,
    ) -> None:
        self.shard = shard
        self.max_replicas = max_replicas  # that may be asked; 0: all of them
        self.asked: set[str] = set()
        self.replicas = replicas
        self.tried: set[str] = set()
        self.running: dict[int, Attempt] = {}
        self.losses: list[FailureReason] = []
        self.breaks = 0  # connections that broke after something was sent
        self.has_replaced = False  # one attempt was sent free of charge
        self.pauses = 0  # waits for a refusal to pass
        self.asked_again: set[str] = set()
        self.second: list[Replica] = []  # refused for now, to be asked again
        self.records: list[Any] | None = None
        self.missing: str | None = None  # why it is not in the answer

    @property
    def is_settled(self) -> bool:
        """Tell whether the shard answered or was given up."""
        return self.records is not None or self.missing is not None

    @property
    def may_have_run(self) -> bool:
        """Tell whether a replica may have run it and did not answer."""
        return any(reason.may_have_run for reason in self.losses)

    @property
    def has_only_broken(self) -> bool:
        """Tell whether one attempt broke and no other may have run."""
        run = [reason for reason in self.losses if reason.may_have_run]
        return run == [FailureReason.broken]

    @property
    def has_moved_on(self) -> bool:
        """Tell whether replicas no longer had the index version asked for."""
        return FailureReason.wrong_version in self.losses

    def untried(self) -> tuple[Replica, ...]:
        """Return the replicas that were not asked yet."""
        if not self.tried and not self.asked:
            return self.replicas
        allowed = self.replicas
        if self.max_replicas and len(self.asked) >= self.max_replicas:
            allowed = tuple(one for one in allowed if one.name in self.asked)
        return tuple(one for one in allowed if one.name not in self.tried)

    def ask_again(self) -> None:
        """Let the replicas that refused for now be asked a second time."""
        names = {one.name for one in self.second}
        self.second.clear()
        self.asked_again |= names
        self.tried -= names

    def start(self, attempt: Attempt) -> None:
        """Note an attempt that is sent."""
        self.tried.add(attempt.replica.name)
        self.asked.add(attempt.replica.name)
        self.running[attempt.serial] = attempt

    def lose(self, attempt: Attempt, reason: FailureReason) -> None:
        """Note an attempt that failed."""
        del self.running[attempt.serial]
        name = attempt.replica.name
        if reason.is_unreached:
            self.asked.discard(name)
        if reason in _PASSING and name not in self.asked_again:
            self.second.append(attempt.replica)
        if reason is FailureReason.broken:
            self.breaks += 1
        self.losses.append(reason)

    def stop(self) -> list[Attempt]:
        """Return the attempts in flight, which are of no more use."""
        losers = list(self.running.values())
        self.running.clear()
        return losers
