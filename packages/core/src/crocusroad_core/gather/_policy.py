"""The choices that a gather leaves to its policy."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.fronts import Replica

# Chooses a replica of a shard: (shard, candidates, now); None if none will do.
Pick = Callable[[str, tuple[Replica, ...], float], Replica | None]
# Seconds after which a shard's attempt is hedged: (shard, now); None: never.
HedgeDelay = Callable[[str, float], float | None]
# Takes one unit of extra load on a shard from the budget: (shard, now);
# False if none is left.
Spend = Callable[[str, float], bool]
# Allows an attempt free of charge, which earns nothing either:
# (whether an attempt before it may have run, now).
Replace = Callable[[bool, float], bool]


class Policy(NamedTuple):
    """The functions that choose replicas, hedge delays and extra load."""

    pick: Pick
    hedge_delay: HedgeDelay
    spend: Spend
    allow_replacement: Replace
