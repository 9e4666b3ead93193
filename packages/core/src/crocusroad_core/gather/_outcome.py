"""How a query ended."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_core.gather._event import FailureReason


class Outcome(StrEnum):
    """How a query ended."""

    answered = 'answered'  # enough shards answered
    expired = 'expired'  # the deadline passed before enough shards answered
    failed = 'failed'  # too few shards answered, before the deadline
    suspected = 'suspected'  # ended because it seems to crash its upstreams


class Suspect(NamedTuple):
    """An upstream that failed while it may have been running the query."""

    replica: str
    shard: str
    reason: FailureReason
