"""The operators' interface over HTTP: a resource API for fronts."""

from crocusroad_node.operators._app import build_operator_app
from crocusroad_node.operators._desk import OperatorDesk

__all__ = ['OperatorDesk', 'build_operator_app']
