"""The final answer of a query."""

from collections.abc import Collection
from typing import NamedTuple

from crocusroad_core.gather._command import Finish
from crocusroad_core.gather._event import FailureReason
from crocusroad_core.gather._outcome import Outcome, Suspect
from crocusroad_core.gather._plan import Plan
from crocusroad_core.gather._shard_state import ShardState
from crocusroad_wire import Coverage, MissingShard

REASON_DEADLINE = 'deadline'
REASON_NO_REPLICA = 'no-replica'
REASON_NOT_ASKED = 'not-asked'
REASON_NO_RETRY_LEFT = 'no-repeat-left'


class FinalState(NamedTuple):
    """The state of a query at its end, apart from its shards."""

    version: int
    plan: Plan
    may_have_run: bool
    is_expired: bool
    is_suspected: bool
    suspects: tuple[Suspect, ...]


def build_final_answer(
    shard_states: Collection[ShardState],
    final: FinalState,
) -> Finish:
    """Return the answer; every shard without an answer is listed as missing."""
    answered = [
        state.records for state in shard_states if state.records is not None
    ]
    missing = [
        MissingShard(shard=state.shard, reason=_missing_reason(state))
        for state in shard_states
        if state.records is None
    ]
    return Finish(
        version=final.version,
        records=final.plan.merge(answered, final.plan.limit),
        coverage=Coverage(
            shards=len(shard_states),
            answered=len(answered),
            missing=missing,
        ),
        outcome=_outcome(
            final,
            is_answered=final.plan.is_enough(len(answered), len(shard_states)),
        ),
        may_have_run=final.may_have_run,
        suspects=final.suspects,
    )


def _outcome(final: FinalState, *, is_answered: bool) -> Outcome:
    if final.is_suspected:
        return Outcome.suspected
    if is_answered:
        return Outcome.answered
    return Outcome.expired if final.is_expired else Outcome.failed


def _missing_reason(state: ShardState) -> str:
    if state.missing_reason is not None:
        return state.missing_reason
    if state.running or state.failures[-1:] == [FailureReason.silent]:
        return REASON_DEADLINE
    return state.failures[-1].value if state.failures else REASON_NOT_ASKED
