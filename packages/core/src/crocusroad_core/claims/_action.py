"""Sending a claimed action to the replicas of its shard."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from crocusroad_core.fronts import Replica
from crocusroad_wire import Record

# Chooses one of the candidates, or None: (candidates, now).
PickCandidate = Callable[[tuple[Replica, ...], float], Replica | None]


class ActionOutcome(StrEnum):
    """How a claimed action ended."""

    answered = 'answered'
    not_run = 'not-run'  # no replica has run it or will run it
    unknown = 'unknown'  # a replica may have run it


class SendAction(NamedTuple):
    """A command to send the action to a replica before the deadline."""

    replica: Replica


class ActionDone(NamedTuple):
    """The end of an action."""

    outcome: ActionOutcome
    reason: str
    records: list[Record]


ActionCommand = SendAction | ActionDone


class Action:
    """Tries replicas in turn until one may have run the action.

    An action runs at most once, so the next replica is tried only after a
    failure that rules out that the previous one ran it.
    """

    def __init__(
        self,
        replicas: tuple[Replica, ...],
        pick: PickCandidate,
        deadline: float,
    ) -> None:
        self._untried = replicas
        self._pick = pick
        self._deadline = deadline
        self._reason = 'no-replica'

    def begin(self, now: float) -> ActionCommand:
        """Return the command for the first replica."""
        return self._next_command(now)

    def on_answer(self, records: list[Record]) -> ActionCommand:
        """Return the end of an action that a replica answered."""
        return ActionDone(ActionOutcome.answered, 'answered', records)

    def on_failure(
        self,
        reason: str,
        now: float,
        *,
        may_have_run: bool,
    ) -> ActionCommand:
        """Return the command after a failure of the replica.

        Args:
            reason: The reason of the failure.
            now: The present time.
            may_have_run: Whether the replica may have run the action.
        """
        self._reason = reason
        if may_have_run:
            return ActionDone(ActionOutcome.unknown, reason, [])
        return self._next_command(now)

    def _next_command(self, now: float) -> ActionCommand:
        if now >= self._deadline:
            return ActionDone(ActionOutcome.not_run, 'deadline', [])
        replica = None
        if self._untried:
            replica = self._pick(self._untried, now)
        if replica is None:
            return ActionDone(ActionOutcome.not_run, self._reason, [])
        self._untried = tuple(
            candidate
            for candidate in self._untried
            if candidate.name != replica.name
        )
        return SendAction(replica)
