"""Validation of front specs."""

from typing import Final

from crocusroad_core.fronts._field_checks import (
    Field,
    boolean,
    integer,
    list_of,
    number,
    object_of,
    string,
)
from crocusroad_wire import Fault

MAX_DEADLINE_MS = 3_600_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_RATE = 1e9  # requests per second
MAX_WORTH = 1e9
MAX_VERSION = 2**53

_name = string(
    r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}',
    'give 1 to 63 letters, digits, dots, hyphens or underscores',
)
_address = string(
    r'[0-9A-Za-z.-]+:[0-9]{1,5}',
    'give host:port',
)
_digest = string('[0-9a-f]{64}', 'give a SHA-256 as 64 hex digits')

_replica = object_of(
    {
        'name': Field(_name),
        'address': Field(_address),
        'zone': Field(_name),
        'slots': Field(integer(1, MAX_SLOTS), is_required=False),
        'connections': Field(integer(1, MAX_CONNECTIONS), is_required=False),
    },
)
_shard = object_of(
    {
        'name': Field(_name),
        'replicas': Field(list_of(_replica, 1, 'name', 'address')),
    },
)
_shard_map = object_of(
    {
        'version': Field(integer(1, MAX_VERSION)),
        'shards': Field(list_of(_shard, 1, 'name')),
    },
)
_caller = object_of(
    {
        'name': Field(_name),
        'token_sha256': Field(_digest),
        'rate': Field(number(0, MAX_RATE), is_required=False),
    },
)
_kind = object_of(
    {
        'name': Field(_name),
        'worth': Field(number(0, MAX_WORTH), is_required=False),
        'deadline_ms': Field(integer(1, MAX_DEADLINE_MS), is_required=False),
        'repeatable': Field(boolean, is_required=False),
        'max_in_flight': Field(integer(1, MAX_SLOTS), is_required=False),
    },
)
_spec: Final = object_of(
    {
        'shard_maps': Field(list_of(_shard_map, 1, 'version')),
        'callers': Field(list_of(_caller, 0, 'name', 'token_sha256')),
        'kinds': Field(list_of(_kind, 1, 'name')),
    },
)


def check_spec(raw: object) -> list[Fault]:
    """Return all faults of a spec decoded from JSON, each with its path."""
    return list(_spec(raw, ''))
