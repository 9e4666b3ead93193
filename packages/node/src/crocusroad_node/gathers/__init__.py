"""Execution of a gather: runs its commands as I/O and feeds back events."""

from crocusroad_node.gathers._driver import run_gather
from crocusroad_node.gathers._observer import AttemptObserver

__all__ = ['AttemptObserver', 'run_gather']
