"""Configuration of the node: kept in the KV, adopted by watching it."""

from crocusroad_node.configs._store import FrontStore
from crocusroad_node.configs._watcher import (
    WatchContext,
    report_adopted,
    watch_fronts,
)

__all__ = [
    'FrontStore',
    'WatchContext',
    'report_adopted',
    'watch_fronts',
]
