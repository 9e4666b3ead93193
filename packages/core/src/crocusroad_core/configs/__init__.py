"""Configuration: what a node adopts, and when an operator's write holds."""

from crocusroad_core.configs._book import FrontBook

__all__ = ['FrontBook']
