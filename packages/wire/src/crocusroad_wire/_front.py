"""The front resource: an operator's declaration and its status."""

from typing import NotRequired, TypedDict


class ReplicaSpec(TypedDict):
    """One upstream process that serves a shard."""

    name: str
    address: str  # host:port
    zone: str
    slots: NotRequired[int]  # number of requests that it runs at once
    connections: NotRequired[int]  # number that it accepts, over all callers


class ShardSpec(TypedDict):
    """One shard of a shard map and the replicas that serve it."""

    name: str
    replicas: list[ReplicaSpec]


class ShardMapSpec(TypedDict):
    """The shards of one index version."""

    version: int
    shards: list[ShardSpec]


class CallerSpec(TypedDict):
    """A caller that may use the front."""

    name: str
    token_sha256: str  # hex digest; the token itself is never stored
    rate: NotRequired[float]  # requests per second


class KindSpec(TypedDict):
    """A request kind that the front accepts."""

    name: str
    worth: NotRequired[float]
    deadline_ms: NotRequired[int]
    repeatable: NotRequired[bool]
    max_in_flight: NotRequired[int]  # concurrent requests per instance


class FrontSpec(TypedDict):
    """The desired state of a front, as the operator declares it."""

    shard_maps: list[ShardMapSpec]
    callers: list[CallerSpec]
    kinds: list[KindSpec]


class FrontStatus(TypedDict):
    """On which instances a front is in force.

    It is the view of the instance that answers, and may be out of date.
    """

    revision: int  # desired revision
    instances_seen: int
    instances_in_force: int
    lagging: list[str]
    phase: str


class FrontResource(TypedDict):
    """A front, as the operators' interface returns it."""

    name: str
    revision: int
    spec: FrontSpec
    status: NotRequired[FrontStatus]
