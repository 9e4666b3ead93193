"""One sub-request to one replica."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_core.fronts import Replica


class AttemptRole(StrEnum):
    """Why an attempt is sent."""

    first = 'first'
    hedge = 'hedge'  # the previous attempt may still be running
    retry = 'retry'  # charged to the budget; no other attempt is running
    # Not charged to the budget. At most one for each shard, not counting those
    # for attempts that never reached their upstream.
    replacement = 'replacement'
    restart = 'restart'  # the query restarted on another index version


class Attempt(NamedTuple):
    """One sub-request to one replica for one shard of a query."""

    serial: int  # unique within the query
    shard: str
    replica: Replica
    version: int  # requested index version
    sent_at: float  # seconds, clock of the node
    role: AttemptRole

    @property
    def is_extra(self) -> bool:
        """Tell whether the attempt was charged to the budget."""
        return self.role in _EXTRA


_EXTRA = frozenset((AttemptRole.hedge, AttemptRole.retry))
