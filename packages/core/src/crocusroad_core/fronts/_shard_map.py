"""The shards of one index version."""

from collections.abc import Mapping
from typing import NamedTuple

from crocusroad_core.fronts._replica import Replica


class ShardMap(NamedTuple):
    """The shards of one index version, each with its replicas."""

    version: int
    shards: Mapping[str, tuple[Replica, ...]]
