"""One sub-request to one replica."""

from typing import NamedTuple

from crocusroad_core.fronts import Replica


class Attempt(NamedTuple):
    """One sub-request to one replica for one shard of a query."""

    serial: int  # unique within the query
    shard: str
    replica: Replica
    version: int  # index version asked for
    sent_at: float  # seconds, clock of the node
    is_extra: bool  # a hedge or a retry, counted against the budget
