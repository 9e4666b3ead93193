"""What one query asks for."""

from collections.abc import Callable, Iterable
from math import inf
from typing import Any, NamedTuple

from crocusroad_core.fronts import ShardMap
from crocusroad_core.gather._merge import merge_records

# Returns the shard map to start over on: (version given up, now); None: none.
FindRestartMap = Callable[[int, float], ShardMap | None]
# Returns the best records of the parts: (parts, limit).
Merge = Callable[[Iterable[list[Any]], int], list[Any]]


class Plan(NamedTuple):
    """One query, resolved against one snapshot of the index."""

    shard_map: ShardMap
    limit: int  # records wanted
    deadline: float  # seconds, clock of the node
    is_repeatable: bool
    needs_canary: bool = False  # ask one shard first, the rest after its reply
    find_restart_map: FindRestartMap | None = None  # None: never start over
    merge: Merge = merge_records
    max_replicas: int = 0  # that may run one shard; 0: as many as there are
    min_shard_ratio: float = (
        0  # of the shards; an answer with less is a failure
    )
    answer_by: float = inf  # from here on an answer with enough shards goes out
    is_retry: bool = False  # whether the first attempts are repeats already
    min_hedge_seconds: float = (
        0  # seconds that a hedge takes to be answered at least
    )

    def is_hedge_in_time(self, now: float) -> bool:
        """Tell whether a hedge sent now can help the answer in time.

        One that comes after the answer is due helps only if too few shards
        are in by then.
        """
        return not now < self.answer_by < now + self.min_hedge_seconds

    def is_enough(self, answered: int, shards: int) -> bool:
        """Tell whether an answer that lacks shards may be given."""
        return answered > 0 and answered >= self.min_shard_ratio * shards
