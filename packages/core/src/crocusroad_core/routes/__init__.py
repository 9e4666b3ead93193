"""Routing of HTTP requests to services as one configuration defines it."""

from crocusroad_core.routes._current_table import CurrentRouteTable
from crocusroad_core.routes._route import Route, WeightedService
from crocusroad_core.routes._table import RequestLimits, RouteTable, Service
from crocusroad_core.routes._weighted_round_robin import WeightedRoundRobin

__all__ = [
    'CurrentRouteTable',
    'RequestLimits',
    'Route',
    'RouteTable',
    'Service',
    'WeightedRoundRobin',
    'WeightedService',
]
