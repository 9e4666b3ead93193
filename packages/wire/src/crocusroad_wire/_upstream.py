"""Messages between a node and the upstreams."""

from typing import Any, NotRequired, TypedDict

from crocusroad_wire._answer import Record


class UpstreamQuery(TypedDict):
    """One sub-request, to one shard on one replica."""

    request_id: str  # names this attempt; the answer repeats it
    shard: str
    version: int
    kind: str
    query: dict[str, Any]
    limit: int
    deadline_ms: int  # time left, from receipt
    expires_at: float  # seconds since the epoch; not to be run after it
    idempotency_key: NotRequired[str]  # of an action


class UpstreamAnswer(TypedDict):
    """What a replica answers to a sub-request."""

    request_id: str
    shard: str
    version: int
    records: list[Record]
    load: NotRequired[float]  # requests held over slots
    draining: NotRequired[bool]
    versions: NotRequired[list[int]]


class UpstreamHealth(TypedDict):
    """What the health endpoint of a replica reports; it may lag or mislead."""

    healthy: bool
    draining: bool
    load: float
    versions: list[int]


class CancelRequest(TypedDict):
    """Asks a replica to stop working on a sub-request."""

    request_id: str
