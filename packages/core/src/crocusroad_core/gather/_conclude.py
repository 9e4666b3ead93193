"""The answer of a query that is over."""

from collections.abc import Collection
from typing import NamedTuple

from crocusroad_core.gather._command import Finish
from crocusroad_core.gather._event import FailureReason
from crocusroad_core.gather._outcome import Outcome, Suspect
from crocusroad_core.gather._part import Part
from crocusroad_core.gather._plan import Plan
from crocusroad_wire import Coverage, MissingShard

REASON_DEADLINE = 'deadline'
REASON_NO_REPLICA = 'no-replica'
REASON_NOT_ASKED = 'not-asked'
REASON_NO_REPEAT = 'no-repeat-left'


class Ending(NamedTuple):
    """What a query knows of itself, besides its parts, when it is over."""

    version: int
    plan: Plan
    may_have_run: bool
    is_expired: bool
    is_suspected: bool
    suspects: tuple[Suspect, ...]


def conclude(parts: Collection[Part], ending: Ending) -> Finish:
    """Return the answer; every part that did not answer is missing."""
    answered = [one.records for one in parts if one.records is not None]
    missing = [
        MissingShard(shard=one.shard, reason=_reason(one))
        for one in parts
        if one.records is None
    ]
    return Finish(
        version=ending.version,
        records=ending.plan.merge(answered, ending.plan.limit),
        coverage=Coverage(
            shards=len(parts),
            answered=len(answered),
            missing=missing,
        ),
        outcome=_outcome(
            ending,
            is_answered=ending.plan.is_enough(len(answered), len(parts)),
        ),
        may_have_run=ending.may_have_run,
        suspects=ending.suspects,
    )


def _outcome(ending: Ending, *, is_answered: bool) -> Outcome:
    if ending.is_suspected:
        return Outcome.suspected
    if is_answered:
        return Outcome.answered
    return Outcome.expired if ending.is_expired else Outcome.failed


def _reason(part: Part) -> str:
    if part.missing is not None:
        return part.missing
    if part.running or part.losses[-1:] == [FailureReason.silent]:
        return REASON_DEADLINE
    return part.losses[-1].value if part.losses else REASON_NOT_ASKED
