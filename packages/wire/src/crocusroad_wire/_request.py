"""The requests that a caller sends."""

from typing import Any, NotRequired, TypedDict


class SearchRequest(TypedDict):
    """A repeatable request to every shard of a front."""

    kind: str
    query: dict[str, Any]
    limit: NotRequired[int]
    deadline_ms: NotRequired[int]


class ActionRequest(TypedDict):
    """A request to one shard that must not run more than once."""

    kind: str
    shard: str
    body: dict[str, Any]
    deadline_ms: NotRequired[int]
