"""The configuration of a front."""

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
    callers: Mapping[str, Caller]  # by SHA-256 of the token
    kinds: Mapping[str, RequestKind]  # by name
