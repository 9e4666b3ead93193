"""Serving of callers' requests, from admission to the merged answer."""

from crocusroad_node.serving._search import SearchCall, SearchService

__all__ = ['SearchCall', 'SearchService']
