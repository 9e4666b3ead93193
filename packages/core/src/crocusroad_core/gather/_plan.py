"""What one query asks for."""

from collections.abc import Callable
from typing import NamedTuple

from crocusroad_core.fronts import ShardMap

# Returns the shard map to start over on: (version given up, now); None: none.
Another = Callable[[int, float], ShardMap | None]


class Plan(NamedTuple):
    """One query, resolved against one snapshot of the index."""

    shard_map: ShardMap
    limit: int  # records wanted
    deadline: float  # seconds, clock of the node
    is_repeatable: bool
    needs_canary: bool = False  # ask one shard first, the rest after its reply
    another: Another | None = None  # None: never start over
