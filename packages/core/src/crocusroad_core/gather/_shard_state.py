"""The state of one shard of a query."""

from typing import Any

from crocusroad_core.fronts import Replica
from crocusroad_core.gather._attempt import Attempt
from crocusroad_core.gather._event import FailureReason

# Refusals after which the same replica may answer when it is asked again soon.
_TEMPORARY = frozenset((FailureReason.shed, FailureReason.no_connection))


class ShardState:
    """The attempts of one shard and their results."""

    __slots__ = (
        'asked',
        'asked_again',
        'backoff_count',
        'broken_count',
        'broken_replicas',
        'failures',
        'has_sent_replacement',
        'max_replicas',
        'missing_reason',
        'reached',
        'records',
        'refused_replicas',
        'replicas',
        'running',
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
        self.max_replicas = max_replicas  # that may be asked; 0: no limit
        # Names of the replicas that count towards `max_replicas`.
        self.asked: set[str] = set()
        self.reached: set[str] = set()  # those of them that got an attempt
        self.replicas = replicas
        # Names of the replicas that are not to be asked now.
        self.tried: set[str] = set()
        self.running: dict[int, Attempt] = {}
        self.failures: list[FailureReason] = []
        # Names of replicas that broke a connection and may be asked once more.
        self.broken_replicas: set[str] = set()
        self.broken_count = 0  # connections that broke after data was sent
        self.has_sent_replacement = False  # at most one is sent uncharged
        self.backoff_count = 0
        self.asked_again: set[str] = set()
        # Replicas that refused temporarily and may be asked once more.
        self.refused_replicas: list[Replica] = []
        self.records: list[Any] | None = None
        self.missing_reason: str | None = None

    @property
    def is_settled(self) -> bool:
        """Tell whether the shard has answered or was given up."""
        return self.records is not None or self.missing_reason is not None

    @property
    def may_have_run(self) -> bool:
        """Tell whether a failed attempt may have run on its replica."""
        return any(reason.may_have_run for reason in self.failures)

    @property
    def has_single_break(self) -> bool:
        """Tell whether one attempt broke and no other may have run."""
        run = [reason for reason in self.failures if reason.may_have_run]
        return run == [FailureReason.broken]

    @property
    def has_wrong_version(self) -> bool:
        """Tell whether a replica no longer had the requested index version."""
        return FailureReason.wrong_version in self.failures

    def untried_replicas(self) -> tuple[Replica, ...]:
        """Return the replicas that may be asked now."""
        if not self.tried and not self.asked:
            return self.replicas
        allowed = self.replicas
        if self.max_replicas and len(self.asked) >= self.max_replicas:
            allowed = tuple(
                replica for replica in allowed if replica.name in self.asked
            )
        return tuple(
            replica for replica in allowed if replica.name not in self.tried
        )

    def readmit_refused(self) -> None:
        """Allow replicas that refused temporarily to be asked once more."""
        names = {replica.name for replica in self.refused_replicas}
        self.refused_replicas.clear()
        self.asked_again |= names
        self.tried -= names

    def readmit_broken(self) -> None:
        """Allow replicas that broke a connection to be asked once more."""
        self.asked_again |= self.broken_replicas
        self.tried -= self.broken_replicas
        self.broken_replicas.clear()

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt that is sent."""
        self.tried.add(attempt.replica.name)
        self.asked.add(attempt.replica.name)
        self.running[attempt.serial] = attempt

    def record_failure(self, attempt: Attempt, reason: FailureReason) -> None:
        """Record an attempt that failed."""
        del self.running[attempt.serial]
        name = attempt.replica.name
        if not reason.is_unreached:
            self.reached.add(name)
        elif name not in self.reached:
            self.asked.discard(name)
        if reason in _TEMPORARY and name not in self.asked_again:
            self.refused_replicas.append(attempt.replica)
        if reason is FailureReason.broken:
            self.broken_count += 1
            if name not in self.asked_again:
                self.broken_replicas.add(name)
        self.failures.append(reason)

    def take_running(self) -> list[Attempt]:
        """Remove and return the attempts in flight."""
        attempts = list(self.running.values())
        self.running.clear()
        return attempts
