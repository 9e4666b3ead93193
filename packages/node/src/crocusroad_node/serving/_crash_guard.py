"""What guards the upstreams against requests that crash them."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather import Attempt, FailureReason, Finish, Policy
from crocusroad_core.refusals import Refusal
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.upstreams import Upstreams

# Tells whether one shard is to be asked before the rest.
NeedsCanary = Callable[[SearchCall], bool]
# Told of each attempt that was lost: (call, attempt, reason, now).
AttemptLost = Callable[[SearchCall, Attempt, FailureReason, float], None]
# Told of the end of each query.
QueryEnded = Callable[[SearchCall, Finish], None]


# Returns the refusal of a search that is known to crash upstreams.
CheckCall = Callable[[SearchCall], Refusal | None]


class Way(NamedTuple):
    """What a search runs on: shard map, choices and upstreams."""

    shard_map: ShardMap
    policy: Policy
    upstreams: Upstreams


# Returns the way of a search in place of the given one.
Steer = Callable[[SearchCall, ShardMap, Policy, Upstreams], Way]


def _keep(
    call: SearchCall,
    shard_map: ShardMap,
    policy: Policy,
    upstreams: Upstreams,
) -> Way:
    return Way(shard_map, policy, upstreams)


class CrashGuard(NamedTuple):
    """The functions that know which requests may crash what runs them."""

    needs_canary: NeedsCanary
    lost: AttemptLost
    ended: QueryEnded
    check: CheckCall = lambda call: None
    steer: Steer = _keep


NO_GUARD = CrashGuard(
    needs_canary=lambda call: False,
    lost=lambda call, attempt, reason, now: None,
    ended=lambda call, finish: None,
)
