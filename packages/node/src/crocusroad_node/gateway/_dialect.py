"""The words of callers, replicas and the store that a gateway speaks."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from crocusroad_core.discovery import Registration
from crocusroad_core.routes import RouteTable


class HeaderNames(NamedTuple):
    """Names of headers, in lower case."""

    request_id: bytes
    deadline: bytes  # milliseconds that are left
    signature: bytes  # of a replica, under its response
    expected_replica: bytes  # name of the replica that a request is meant for
    load: bytes  # running, waiting, slots
    not_run: bytes  # the replica did not run the request
    shard_signatures: bytes  # of the shards in an answer
    missing_shards: bytes  # how many shards are not in an answer


class Dialect(NamedTuple):
    """Header names, keys of the store and what lies there."""

    headers: HeaderNames
    ready_path: str
    record_bytes: int  # of one record in a shard's answer
    config_key: str
    replicas_prefix: str
    instances_prefix: str  # where the instances register themselves
    decode_config: Callable[[str], Result[RouteTable, str]]
    decode_registration: Callable[[str, str], Result[Registration, str]]
