"""How a query ended."""

from enum import StrEnum
from typing import NamedTuple

from crocusroad_core.gather._event import FailureReason


class Outcome(StrEnum):
    """How a query ended."""

    answered = 'answered'  # at least one shard answered
    expired = 'expired'  # the deadline came before any answer
    failed = 'failed'  # every attempt failed before the deadline
    suspected = 'suspected'  # ended: it seems to crash the upstreams it is on


class Suspect(NamedTuple):
    """An upstream that failed while it may have run the query."""

    replica: str
    shard: str
    reason: FailureReason
