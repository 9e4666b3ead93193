"""The shards of one index version."""

from collections.abc import Mapping
from typing import NamedTuple

from crocusroad_core.fronts._replica import Replica


class ShardMap(NamedTuple):
    """The shards that one index version consists of, with their replicas."""

    version: int
    shards: Mapping[str, tuple[Replica, ...]]
