"""Configuration of the node: kept in the KV, adopted by watching it."""

from crocusroad_node.configs._store import FrontStore
from crocusroad_node.configs._watcher import watch_fronts

__all__ = ['FrontStore', 'watch_fronts']
