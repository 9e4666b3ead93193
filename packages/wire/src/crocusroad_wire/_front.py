"""The front resource: what an operator declares and what is in force."""

from typing import NotRequired, TypedDict


class ReplicaSpec(TypedDict):
    """One upstream process that serves a shard."""

    name: str
    address: str  # host:port
    zone: str
    slots: NotRequired[int]  # requests it runs at once
    connections: NotRequired[int]  # connections it accepts, over all callers


class ShardSpec(TypedDict):
    """One shard of a shard map and the replicas that serve it."""

    name: str
    replicas: list[ReplicaSpec]


class ShardMapSpec(TypedDict):
    """The shards that one index version consists of."""

    version: int
    shards: list[ShardSpec]


class CallerSpec(TypedDict):
    """A caller that the front serves."""

    name: str
    token_sha256: str  # hex digest; the token itself is never stored
    rate: NotRequired[float]  # requests a second


class KindSpec(TypedDict):
    """A request kind that the front accepts."""

    name: str
    worth: NotRequired[float]
    deadline_ms: NotRequired[int]
    repeatable: NotRequired[bool]
    max_in_flight: NotRequired[int]  # requests at once on one instance


class FrontSpec(TypedDict):
    """What the operator wants of a front."""

    shard_maps: list[ShardMapSpec]
    callers: list[CallerSpec]
    kinds: list[KindSpec]


class FrontStatus(TypedDict):
    """Where a front is in force, as the answering instance knows it."""

    revision: int  # revision wanted
    instances_seen: int
    instances_in_force: int
    lagging: list[str]
    phase: str


class FrontResource(TypedDict):
    """A front as the operators' interface shows it."""

    name: str
    revision: int
    spec: FrontSpec
    status: NotRequired[FrontStatus]
