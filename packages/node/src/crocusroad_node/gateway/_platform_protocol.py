"""The protocol of a platform: header names, store keys and decoders."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from crocusroad_core.discovery import Registration
from crocusroad_core.routes import RouteTable


class HeaderNames(NamedTuple):
    """Names of headers, in lower case."""

    request_id: bytes
    deadline: bytes  # milliseconds until the caller's deadline
    signature: bytes  # of a replica, for its response
    expected_replica: bytes  # name of the replica that a request is sent to
    load: bytes  # running requests, waiting requests, slots
    not_run: bytes  # set if the replica did not run the request
    leaving: bytes  # `1` if the replica leaves
    shard_signatures: bytes  # of the shards in an answer
    missing_shards: bytes  # number of shards that are not in an answer


class PlatformProtocol(NamedTuple):
    """Header names, keys of the store, and decoders for their values."""

    headers: HeaderNames
    ready_path: str
    record_bytes: int  # size of a record in a shard's answer
    config_key: str
    replicas_prefix: str
    instances_prefix: str  # below which the instances register themselves
    crashes_prefix: str  # below which the instances keep crash reports
    decode_config: Callable[[str], Result[RouteTable, str]]
    decode_registration: Callable[[str, str], Result[Registration, str]]
