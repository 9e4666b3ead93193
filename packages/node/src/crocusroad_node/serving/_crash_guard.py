"""The interface of the guard against requests that crash upstreams."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather import Attempt, FailureReason, Finish, Policy
from crocusroad_core.refusals import Refusal
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.upstreams import Upstreams

# Returns whether one shard must answer before the others are queried.
NeedsCanary = Callable[[SearchCall], bool]
# Called for each attempt that failed: (call, attempt, reason, now).
OnAttemptFailure = Callable[[SearchCall, Attempt, FailureReason, float], None]
# Called at the end of each query.
OnQueryEnd = Callable[[SearchCall, Finish], None]
# Returns the refusal of a search that is known to crash upstreams, or None.
CheckCall = Callable[[SearchCall], Refusal | None]


class QueryContext(NamedTuple):
    """The shard map, policy and upstreams that a query runs with."""

    shard_map: ShardMap
    policy: Policy
    upstreams: Upstreams


# Returns the context that a query runs with, made from the given parts.
PrepareQuery = Callable[[SearchCall, ShardMap, Policy, Upstreams], QueryContext]


def _leave_unchanged(
    call: SearchCall,
    shard_map: ShardMap,
    policy: Policy,
    upstreams: Upstreams,
) -> QueryContext:
    return QueryContext(shard_map, policy, upstreams)


class CrashGuard(NamedTuple):
    """Functions that stop requests which crash the upstreams that run them."""

    needs_canary: NeedsCanary
    on_attempt_failure: OnAttemptFailure
    on_query_end: OnQueryEnd
    check: CheckCall = lambda call: None
    prepare: PrepareQuery = _leave_unchanged


NO_GUARD = CrashGuard(
    needs_canary=lambda call: False,
    on_attempt_failure=lambda call, attempt, reason, now: None,
    on_query_end=lambda call, finish: None,
)
