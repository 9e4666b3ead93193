"""What guards the upstreams against requests that crash them."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.gather import Attempt, FailureReason, Finish
from crocusroad_node.serving._call import SearchCall

# Tells whether one shard is to be asked before the rest.
NeedsCanary = Callable[[SearchCall], bool]
# Told of each attempt that was lost: (call, attempt, reason, now).
AttemptLost = Callable[[SearchCall, Attempt, FailureReason, float], None]
# Told of the end of each query.
QueryEnded = Callable[[SearchCall, Finish], None]


class CrashGuard(NamedTuple):
    """The functions that know which requests may crash what runs them."""

    needs_canary: NeedsCanary
    lost: AttemptLost
    ended: QueryEnded


NO_GUARD = CrashGuard(
    needs_canary=lambda call: False,
    lost=lambda call, attempt, reason, now: None,
    ended=lambda call, finish: None,
)
