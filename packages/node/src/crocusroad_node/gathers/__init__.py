"""Driving of a gather: its commands become I/O, what happens its events."""

from crocusroad_node.gathers._driver import run_gather

__all__ = ['run_gather']
