"""The run of one claimed action."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from crocusroad_core.fronts import Replica
from crocusroad_wire import Record

# Chooses a replica for the shard, or none: (candidates, now).
PickReplica = Callable[[tuple[Replica, ...], float], Replica | None]


class ActionOutcome(StrEnum):
    """How a claimed action ended."""

    answered = 'answered'
    not_run = 'not-run'  # no replica has run it or will
    unknown = 'unknown'  # a replica may have run it


class SendAction(NamedTuple):
    """Send the action to a replica, unless the deadline has passed."""

    replica: Replica


class ActionDone(NamedTuple):
    """The action is over."""

    outcome: ActionOutcome
    reason: str
    records: list[Record]


ActionCommand = SendAction | ActionDone


class Action:
    """Asks one replica after another, until one may have run the action."""

    def __init__(
        self,
        replicas: tuple[Replica, ...],
        pick: PickReplica,
        deadline: float,
    ) -> None:
        self._untried = replicas
        self._pick = pick
        self._deadline = deadline
        self._reason = 'no-replica'

    def begin(self, now: float) -> ActionCommand:
        """Choose the first replica."""
        return self._next(now)

    def on_answer(self, records: list[Record]) -> ActionCommand:
        """Take the answer of the replica."""
        return ActionDone(ActionOutcome.answered, 'answered', records)

    def on_lost(
        self,
        reason: str,
        now: float,
        *,
        may_have_run: bool,
    ) -> ActionCommand:
        """Take the failure of the replica; try another only if it is safe."""
        self._reason = reason
        if may_have_run:
            return ActionDone(ActionOutcome.unknown, reason, [])
        return self._next(now)

    def _next(self, now: float) -> ActionCommand:
        if now >= self._deadline:
            return ActionDone(ActionOutcome.not_run, 'deadline', [])
        replica = None
        if self._untried:
            replica = self._pick(self._untried, now)
        if replica is None:
            return ActionDone(ActionOutcome.not_run, self._reason, [])
        self._untried = tuple(
            one for one in self._untried if one.name != replica.name
        )
        return SendAction(replica)
