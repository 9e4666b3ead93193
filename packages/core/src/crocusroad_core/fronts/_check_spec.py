"""The check of a front's spec."""

from typing import Final

from crocusroad_core.fronts._rules import (
    Field,
    boolean,
    items_of,
    number,
    object_of,
    text,
    whole,
)
from crocusroad_wire import Fault

LONGEST_DEADLINE_MS = 3_600_000
MOST_SLOTS = 10_000
MOST_CONNECTIONS = 100_000
HIGHEST_RATE = 1e9  # requests a second
HIGHEST_WORTH = 1e9
HIGHEST_VERSION = 2**53

_name = text(
    r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}',
    'give 1 to 63 letters, digits, dots, hyphens or underscores',
)
_address = text(
    r'[0-9A-Za-z.-]+:[0-9]{1,5}',
    'give host:port',
)
_digest = text('[0-9a-f]{64}', 'give a SHA-256 as 64 hex digits')

_replica = object_of(
    {
        'name': Field(_name),
        'address': Field(_address),
        'zone': Field(_name),
        'slots': Field(whole(1, MOST_SLOTS), is_required=False),
        'connections': Field(whole(1, MOST_CONNECTIONS), is_required=False),
    },
)
_shard = object_of(
    {
        'name': Field(_name),
        'replicas': Field(items_of(_replica, 1, 'name', 'address')),
    },
)
_shard_map = object_of(
    {
        'version': Field(whole(1, HIGHEST_VERSION)),
        'shards': Field(items_of(_shard, 1, 'name')),
    },
)
_caller = object_of(
    {
        'name': Field(_name),
        'token_sha256': Field(_digest),
        'rate': Field(number(0, HIGHEST_RATE), is_required=False),
    },
)
_kind = object_of(
    {
        'name': Field(_name),
        'worth': Field(number(0, HIGHEST_WORTH), is_required=False),
        'deadline_ms': Field(whole(1, LONGEST_DEADLINE_MS), is_required=False),
        'repeatable': Field(boolean, is_required=False),
        'max_in_flight': Field(whole(1, MOST_SLOTS), is_required=False),
    },
)
_spec: Final = object_of(
    {
        'shard_maps': Field(items_of(_shard_map, 1, 'version')),
        'callers': Field(items_of(_caller, 0, 'name', 'token_sha256')),
        'kinds': Field(items_of(_kind, 1, 'name')),
    },
)


def check_spec(raw: object) -> list[Fault]:
    """Return every fault of a spec as read from JSON, by path."""
    return list(_spec(raw, ''))
