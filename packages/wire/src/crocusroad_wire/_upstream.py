"""Messages between a node and the upstreams."""

from typing import Any, NotRequired, TypedDict

from crocusroad_wire._answer import Record


class UpstreamQuery(TypedDict):
    """A sub-request to one shard on one replica."""

    request_id: str  # identifies this attempt; echoed in the answer
    shard: str
    version: int
    kind: str
    query: dict[str, Any]
    limit: int
    deadline_ms: int  # remaining time, counted from receipt
    expires_at: float  # Unix time in seconds; must not run after it
    idempotency_key: NotRequired[str]  # actions only


class UpstreamAnswer(TypedDict):
    """A replica's answer to a sub-request."""

    request_id: str
    shard: str
    version: int
    records: list[Record]
    load: NotRequired[float]  # requests held, divided by slots
    draining: NotRequired[bool]
    versions: NotRequired[list[int]]


class UpstreamHealth(TypedDict):
    """The health report of a replica, which may be out of date or wrong."""

    healthy: bool
    draining: bool
    load: float
    versions: list[int]


class CancelRequest(TypedDict):
    """A request to a replica to stop working on a sub-request."""

    request_id: str
