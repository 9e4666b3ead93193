"""Requests that crash upstreams: found, stopped, and innocents cleared."""

from crocusroad_core.poison._book import PoisonBook
from crocusroad_core.poison._case import Case
from crocusroad_core.poison._fingerprint import (
    canary_order,
    canary_pair,
    fingerprint,
)
from crocusroad_core.poison._recent import RecentTable
from crocusroad_core.poison._run import Run

__all__ = [
    'Case',
    'PoisonBook',
    'RecentTable',
    'Run',
    'canary_order',
    'canary_pair',
    'fingerprint',
]
