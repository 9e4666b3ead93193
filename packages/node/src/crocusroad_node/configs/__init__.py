"""Storage of fronts in the KV and their adoption by watching it."""

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
