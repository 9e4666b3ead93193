"""The operators' interface over HTTP: a resource API for fronts."""

from crocusroad_node.operators._app import build_operator_app
from crocusroad_node.operators._context import OperatorContext

__all__ = ['OperatorContext', 'build_operator_app']
