"""Immutable front configurations, and the check and build of their specs."""

from crocusroad_core.fronts._build import build_front
from crocusroad_core.fronts._caller import Caller
from crocusroad_core.fronts._check_spec import check_spec
from crocusroad_core.fronts._front import Front
from crocusroad_core.fronts._kind import RequestKind
from crocusroad_core.fronts._replica import Replica
from crocusroad_core.fronts._shard_map import ShardMap

__all__ = [
    'Caller',
    'Front',
    'Replica',
    'RequestKind',
    'ShardMap',
    'build_front',
    'check_spec',
]
