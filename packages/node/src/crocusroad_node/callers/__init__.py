"""The HTTP interface for callers."""

from crocusroad_node.callers._app import build_caller_app

__all__ = ['build_caller_app']
