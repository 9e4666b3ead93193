"""What a caller receives for a request that ran."""

from typing import Any, TypedDict


class Record(TypedDict):
    """One record that matched."""

    id: str
    score: float
    fields: dict[str, Any]


class MissingShard(TypedDict):
    """A shard of the snapshot that the answer does not cover."""

    shard: str
    reason: str


class Coverage(TypedDict):
    """How much of its snapshot an answer covers."""

    shards: int
    answered: int
    missing: list[MissingShard]


class Answer(TypedDict):
    """The merged answer of one request."""

    request_id: str
    snapshot: int
    records: list[Record]
    coverage: Coverage
