"""Configuration of the node: kept in the KV, adopted by watching it."""

from crocusroad_node.configs._store import FrontStore
from crocusroad_node.configs._watcher import (
    Surroundings,
    report_adopted,
    watch_fronts,
)

__all__ = [
    'FrontStore',
    'Surroundings',
    'report_adopted',
    'watch_fronts',
]
