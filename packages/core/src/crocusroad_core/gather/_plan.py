"""What one query asks for."""

from typing import NamedTuple

from crocusroad_core.fronts import ShardMap


class Plan(NamedTuple):
    """One query, resolved against one snapshot of the index."""

    shard_map: ShardMap
    limit: int  # records wanted
    deadline: float  # seconds, clock of the node
    is_repeatable: bool
