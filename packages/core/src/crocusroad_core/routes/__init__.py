"""Routes of HTTP requests to services, as one configuration names them."""

from crocusroad_core.routes._adopted import AdoptedTable
from crocusroad_core.routes._route import Route, WeightedService
from crocusroad_core.routes._table import RequestLimits, RouteTable, Service
from crocusroad_core.routes._turns import WeightedTurns

__all__ = [
    'AdoptedTable',
    'RequestLimits',
    'Route',
    'RouteTable',
    'Service',
    'WeightedService',
    'WeightedTurns',
]
