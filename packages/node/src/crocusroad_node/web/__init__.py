"""HTTP utilities shared by the callers' and the operators' interface."""

from crocusroad_node.web._auth import bearer_digest, is_same_digest
from crocusroad_node.web._problem import problem_response
from crocusroad_node.web._server import serve_app

__all__ = [
    'bearer_digest',
    'is_same_digest',
    'problem_response',
    'serve_app',
]
