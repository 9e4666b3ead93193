"""Driving of a gather: its commands become I/O, what happens its events."""

from crocusroad_node.gathers._driver import run_gather
from crocusroad_node.gathers._observer import AttemptObserver

__all__ = ['AttemptObserver', 'run_gather']
