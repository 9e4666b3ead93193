"""Fingerprints of requests, and the upstreams that try a new one first."""

from typing import NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.poison._crash_evidence import MAX_CRASHES


class CanaryShard(NamedTuple):
    """A shard and the order in which its replicas try a canary."""

    shard: str
    replicas: tuple[Replica, ...]


_encoder = msgspec.json.Encoder(order='sorted')


def compute_fingerprint(front: str, kind: str, body: object) -> str:
    """Return the hash of what a request asks, whoever sends it."""
    return xxh3_128_hexdigest(_encoder.encode([front, kind, body]))


def canary_order(print_: str, shard_map: ShardMap) -> list[CanaryShard]:
    """Return the shards and replicas for a canary, first choice first.

    The order depends on nothing but the fingerprint and the names, so every
    instance sends the same request to the same upstreams first, whatever it
    knows of the others.
    """
    shards = sorted(shard_map.shards, key=lambda name: _rank(print_, name))
    return [
        CanaryShard(shard, _ordered(print_, shard_map.shards[shard]))
        for shard in shards
    ]


def suspect_upstreams(print_: str, shard_map: ShardMap) -> list[str]:
    """Return the names of the upstreams that a suspect may run on."""
    order = canary_order(print_, shard_map)
    every = [one.name for shard in order for one in shard.replicas]
    return every[:MAX_CRASHES]


def _ordered(
    print_: str,
    replicas: tuple[Replica, ...],
) -> tuple[Replica, ...]:
    return tuple(sorted(replicas, key=lambda one: _rank(print_, one.name)))


def _rank(print_: str, name: str) -> tuple[int, str]:
    return xxh3_64_intdigest(f'{print_}/{name}'.encode()), name
