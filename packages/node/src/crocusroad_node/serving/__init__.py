"""Handling of callers' requests from admission to the merged answer."""

from crocusroad_node.serving._action import ActionService
from crocusroad_node.serving._action_plan import ActionCall
from crocusroad_node.serving._action_run import ActionRunner
from crocusroad_node.serving._admission import monitor_loop_lag
from crocusroad_node.serving._call import SearchCall
from crocusroad_node.serving._crash_guard import NO_GUARD, CrashGuard
from crocusroad_node.serving._poison_guard import build_crash_guard
from crocusroad_node.serving._search import SearchService

__all__ = [
    'NO_GUARD',
    'ActionCall',
    'ActionRunner',
    'ActionService',
    'CrashGuard',
    'SearchCall',
    'SearchService',
    'build_crash_guard',
    'monitor_loop_lag',
]
