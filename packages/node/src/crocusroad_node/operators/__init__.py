"""The operator API: fronts as resources over HTTP."""

from crocusroad_node.operators._app import build_operator_app
from crocusroad_node.operators._context import OperatorContext

__all__ = ['OperatorContext', 'build_operator_app']
