"""The operators' interface over HTTP: a resource API for fronts."""

from crocusroad_node.operators._app import build_operator_app

__all__ = ['build_operator_app']
