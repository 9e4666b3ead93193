"""A front as the decisions see it."""

from collections.abc import Mapping
from typing import NamedTuple

from crocusroad_core.fronts._caller import Caller
from crocusroad_core.fronts._kind import RequestKind
from crocusroad_core.fronts._shard_map import ShardMap


class Front(NamedTuple):
    """A search front at one revision of its configuration."""

    name: str
    revision: int
    shard_maps: Mapping[int, ShardMap]  # by index version
    callers: Mapping[str, Caller]  # by token digest
    kinds: Mapping[str, RequestKind]
