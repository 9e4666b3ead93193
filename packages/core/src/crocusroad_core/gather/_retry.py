"""Retries of a shard whose attempts have all failed."""

from crocusroad_core.fronts import Replica
from crocusroad_core.gather._attempt import AttemptRole
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._query_state import QueryState
from crocusroad_core.gather._shard_state import ShardState

# Backoff before a retry after a temporary refusal; doubled for each further
# refusal.
BACKOFF_SECONDS = 0.02
# Attempts at one shard whose connection may break while they run, and how many
# may if replicas are asked again.
MAX_BROKEN_ATTEMPTS = 2
MAX_BROKEN_WITH_REPEATS = 3


def retry(
    query: QueryState,
    shard_state: ShardState,
    now: float,
) -> list[Command] | None:
    """Ask the shard again, now or later; return None if that is not allowed."""
    if not _may_retry(query, shard_state, now):
        return None
    if not query.canary.allows_attempt(len(query.running)):
        return _back_off(query, shard_state, now)
    replica = query.pick_replica(
        shard_state, _candidates(query, shard_state), now
    )
    if replica is None:
        return (
            _back_off(query, shard_state, now)
            if shard_state.refused_replicas
            else None
        )
    role = _choose_role(query, shard_state, now)
    if role is None:
        return None
    return [query.send(shard_state, replica, now, role)]


def _may_retry(query: QueryState, shard_state: ShardState, now: float) -> bool:
    if shard_state.may_have_run and not query.plan.is_repeatable:
        return False
    max_broken = MAX_BROKEN_ATTEMPTS
    if query.plan.asks_again_after_loss:
        max_broken = MAX_BROKEN_WITH_REPEATS
    return shard_state.broken_count < max_broken and now < query.plan.deadline


def _candidates(
    query: QueryState, shard_state: ShardState
) -> tuple[Replica, ...]:
    """Return the replicas to retry at.

    If every replica has been tried, those that lost an answer are asked once
    more: most of them run, and lose only some of their answers.
    """
    candidates = shard_state.untried_replicas()
    if candidates or not query.plan.asks_again_after_loss:
        return candidates
    shard_state.readmit_broken()
    return shard_state.untried_replicas()


def _back_off(
    query: QueryState,
    shard_state: ShardState,
    now: float,
) -> list[Command]:
    shard_state.backoff_count += 1
    backoff = BACKOFF_SECONDS * 2 ** (shard_state.backoff_count - 1)
    query.timers.set(shard_state.shard, now + backoff)
    return []


def _choose_role(
    query: QueryState,
    shard_state: ShardState,
    now: float,
) -> AttemptRole | None:
    """Return the role of the next attempt, or None if the budget refuses."""
    policy = query.policy
    if shard_state.failures[-1].is_unreached:
        # The failed attempt cost no upstream anything, so its replacement is
        # not charged.
        policy.allow_replacement(False, now)
        return AttemptRole.replacement
    may_have_run = shard_state.may_have_run
    shard = shard_state.shard
    if may_have_run and query.spend(shard, AttemptRole.retry, now):
        return AttemptRole.retry
    if _may_send_replacement(shard_state) and policy.allow_replacement(
        may_have_run, now
    ):
        shard_state.has_sent_replacement = True
        return AttemptRole.replacement
    if not may_have_run and query.spend(shard, AttemptRole.retry, now):
        return AttemptRole.retry
    return None


def _may_send_replacement(shard_state: ShardState) -> bool:
    if shard_state.has_sent_replacement:
        return False
    return shard_state.has_single_break or not shard_state.may_have_run
