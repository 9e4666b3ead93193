"""The answer to a caller's request that ran."""

from typing import Any, TypedDict


class Record(TypedDict):
    """A record that matched the query."""

    id: str
    score: float
    fields: dict[str, Any]


class MissingShard(TypedDict):
    """A shard of the snapshot that the answer does not cover."""

    shard: str
    reason: str


class Coverage(TypedDict):
    """The part of its snapshot that an answer covers, in shards."""

    shards: int
    answered: int
    missing: list[MissingShard]


class Answer(TypedDict):
    """The merged answer to one request."""

    request_id: str
    snapshot: int
    records: list[Record]
    coverage: Coverage
