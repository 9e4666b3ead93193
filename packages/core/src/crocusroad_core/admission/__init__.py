"""Admission of requests: by caller, kind, deadline, load and worth."""

from crocusroad_core.admission._bucket import TokenBucket
from crocusroad_core.admission._demand import Demand
from crocusroad_core.admission._door import Door
from crocusroad_core.admission._limit import ConcurrencyLimit
from crocusroad_core.admission._live import LiveCount
from crocusroad_core.admission._quantile import FadingQuantile
from crocusroad_core.admission._ticket import Ticket

__all__ = [
    'ConcurrencyLimit',
    'Demand',
    'Door',
    'FadingQuantile',
    'LiveCount',
    'Ticket',
    'TokenBucket',
]
