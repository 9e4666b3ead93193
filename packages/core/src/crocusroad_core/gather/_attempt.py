"""One sub-request to one replica."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_core.fronts import Replica


class AttemptRole(StrEnum):
    """Why an attempt is sent."""

    first = 'first'
    hedge = 'hedge'  # the attempt before it may still be running
    retry = 'retry'  # charged; none before it is running
    replacement = 'replacement'  # free of charge, once a shard
    restart = 'restart'  # the query started over on another index version


class Attempt(NamedTuple):
    """One sub-request to one replica for one shard of a query."""

    serial: int  # unique within the query
    shard: str
    replica: Replica
    version: int  # index version asked for
    sent_at: float  # seconds, clock of the node
    role: AttemptRole

    @property
    def is_extra(self) -> bool:
        """Tell whether the attempt was taken from the budget."""
        return self.role in _EXTRA


_EXTRA = frozenset((AttemptRole.hedge, AttemptRole.retry))
