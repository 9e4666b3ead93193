"""The plan of one query."""

from collections.abc import Callable, Iterable
from math import inf
from typing import Any, NamedTuple

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather._merge import merge_records

# Finds the shard map for a restart: (current version, now). Returns None if
# there is none.
FindRestartMap = Callable[[int, float], ShardMap | None]
# Merges the records of the shards: (answers, limit). Returns the best ones.
Merge = Callable[[Iterable[list[Any]], int], list[Any]]


class Plan(NamedTuple):
    """One query, resolved against one snapshot of the index."""

    shard_map: ShardMap
    limit: int  # maximum number of records
    deadline: float  # seconds, clock of the node
    is_repeatable: bool
    needs_canary: bool = False  # ask one shard first, the rest after its reply
    find_restart_map: FindRestartMap | None = None  # None: never restart
    merge: Merge = merge_records
    max_replicas: int = 0  # that may be asked for one shard; 0: no limit
    # Ratio of the shards below which an answer counts as a failure.
    min_shard_ratio: float = 0
    answer_by: float = (
        inf  # after this time an answer with enough shards ends it
    )
    # Whether a replica that lost an answer may be asked once more.
    asks_again_after_loss: bool = False
    is_retry: bool = (
        False  # whether the first attempts already count as retries
    )
    min_hedge_seconds: float = 0  # minimum time until a hedge is answered

    def is_hedge_in_time(self, now: float) -> bool:
        """Tell whether a hedge that is sent now can be of use.

        A hedge answered after `answer_by` is of use only if too few shards
        have answered by then.
        """
        return not now < self.answer_by < now + self.min_hedge_seconds

    def is_enough(self, answered: int, shards: int) -> bool:
        """Tell whether the number of answered shards suffices for an answer."""
        return answered > 0 and answered >= self.min_shard_ratio * shards
