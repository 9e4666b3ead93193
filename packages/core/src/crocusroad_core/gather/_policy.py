"""The decisions that a gather leaves to its policy."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.fronts import Replica
from crocusroad_core.gather._attempt import AttemptRole

# Picks a replica: (shard, candidates, now). Returns None if none is suitable.
PickReplica = Callable[[str, tuple[Replica, ...], float], Replica | None]
# Returns the seconds after which an attempt is hedged, or None for never:
# (shard, now).
HedgeDelay = Callable[[str, float], float | None]
# Takes one extra attempt from the budget of a shard: (shard, now). Returns
# False if none is left.
SpendBudget = Callable[[str, float], bool]
# Tells whether an attempt may be sent that neither costs nor earns budget:
# (whether an earlier attempt may have run, now).
AllowReplacement = Callable[[bool, float], bool]
# Records whether the budget of a shard allowed an extra attempt:
# (shard, role, whether it did).
RecordSpend = Callable[[str, AttemptRole, bool], None]


class Policy(NamedTuple):
    """The functions that decide on replicas, hedge delays and extra load."""

    pick: PickReplica
    hedge_delay: HedgeDelay
    spend: SpendBudget
    allow_replacement: AllowReplacement
    record_spend: RecordSpend | None = None
