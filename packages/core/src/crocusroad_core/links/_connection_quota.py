"""Quota of an instance of the connections that a replica accepts."""

from collections.abc import Set
from hashlib import blake2b
from typing import Final

from crocusroad_core.fronts import Replica

OVERCOMMIT: Final = 2  # instances that may run for each one listed


def connection_quota(
    instance: str,
    instances: Set[str],
    replica: Replica,
) -> int:
    """Return how many connections `instance` may hold to `replica`.

    The quotas of all running instances add up to at most the replica's limit,
    provided that each instance lists at least one in `OVERCOMMIT` of those
    that run.

    If a replica has fewer connections than `OVERCOMMIT` for each instance, it
    is assigned single connections by rendezvous hashing: one for each of the
    instances that rank first by a hash of both names. The other instances
    get no connection and use other replicas.
    """
    listed = len(instances | {instance})
    quota = replica.connections // (OVERCOMMIT * listed)
    if quota:
        return quota
    assignable = replica.connections // OVERCOMMIT
    own_rank = _rank(instance, replica)
    ahead = sum(_rank(name, replica) < own_rank for name in instances)
    return 1 if ahead < assignable else 0


def _rank(instance: str, replica: Replica) -> bytes:
    text = f'{instance}/{replica.address}'
    return blake2b(text.encode(), digest_size=8).digest()
