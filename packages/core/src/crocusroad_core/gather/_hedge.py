"""Hedging of a shard whose attempt is slow."""

from crocusroad_core.gather._attempt import AttemptRole
from crocusroad_core.gather._command import Command
from crocusroad_core.gather._query_state import QueryState
from crocusroad_core.gather._shard_state import ShardState

# Backoff after the budget refused a hedge; doubled for each further refusal.
HEDGE_BACKOFF_SECONDS = 0.1


def hedge(
    query: QueryState,
    shard_state: ShardState,
    now: float,
) -> list[Command]:
    """Send a hedge for a slow shard if the budget allows it.

    While a canary is pending, a shard that is held back is asked instead,
    because that adds no load.
    """
    if not query.canary.allows_attempt(len(query.running)):
        return []
    shard = query.canary.next_shard() if query.canary.is_pending else None
    if shard is None:
        return _send_hedge(query, shard_state, now)
    return query.send_first((shard,), now)


def _send_hedge(
    query: QueryState,
    shard_state: ShardState,
    now: float,
) -> list[Command]:
    if not query.plan.is_hedge_in_time(now):
        query.timers.set(shard_state.shard, query.plan.answer_by)
        return []
    if not shard_state.untried_replicas():
        shard_state.readmit_refused()
    replica = query.pick_replica(
        shard_state, shard_state.untried_replicas(), now
    )
    if replica is None:
        return []
    if query.spend(shard_state.shard, AttemptRole.hedge, now):
        return [query.send(shard_state, replica, now, AttemptRole.hedge)]
    shard_state.backoff_count += 1
    backoff = HEDGE_BACKOFF_SECONDS * 2 ** (shard_state.backoff_count - 1)
    query.timers.set(shard_state.shard, now + backoff)
    return []
