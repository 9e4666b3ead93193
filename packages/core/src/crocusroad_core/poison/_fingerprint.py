"""Fingerprints of requests, and the order of upstreams for canaries."""

from typing import NamedTuple

import msgspec
from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

from crocusroad_core.fronts import Replica, ShardMap
from crocusroad_core.poison._crash_evidence import MAX_CRASHES


class CanaryShard(NamedTuple):
    """A shard and its replicas in the order in which they try a canary."""

    shard: str
    replicas: tuple[Replica, ...]


_encoder = msgspec.json.Encoder(order='sorted')


def compute_fingerprint(front: str, kind: str, body: object) -> str:
    """Return the hash of a request's content, independent of its caller."""
    return xxh3_128_hexdigest(_encoder.encode([front, kind, body]))


def canary_order(fingerprint: str, shard_map: ShardMap) -> list[CanaryShard]:
    """Return the shards and replicas for a canary, in order of preference.

    The order depends only on the fingerprint and the names. Every instance
    therefore sends the same request to the same upstreams first, even if no
    crash report has reached it.
    """
    shards = sorted(shard_map.shards, key=lambda name: _rank(fingerprint, name))
    return [
        CanaryShard(
            shard, _order_replicas(fingerprint, shard_map.shards[shard])
        )
        for shard in shards
    ]


def suspect_upstreams(fingerprint: str, shard_map: ShardMap) -> list[str]:
    """Return the names of the upstreams that may run a suspect request."""
    order = canary_order(fingerprint, shard_map)
    names = [replica.name for shard in order for replica in shard.replicas]
    return names[:MAX_CRASHES]


def _order_replicas(
    fingerprint: str,
    replicas: tuple[Replica, ...],
) -> tuple[Replica, ...]:
    return tuple(
        sorted(replicas, key=lambda replica: _rank(fingerprint, replica.name))
    )


def _rank(fingerprint: str, name: str) -> tuple[int, str]:
    return xxh3_64_intdigest(f'{fingerprint}/{name}'.encode()), name
