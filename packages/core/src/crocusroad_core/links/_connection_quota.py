"""An instance's part of the connections that a replica accepts."""

from collections.abc import Set
from hashlib import blake2b
from typing import Final

from crocusroad_core.fronts import Replica

OVERLAP: Final = 2  # instances that may run for each one listed


def connection_quota(
    instance: str,
    instances: Set[str],
    replica: Replica,
) -> int:
    """Return how many connections `instance` may hold to `replica`.

    The parts of all running instances sum up to at most the replica's limit
    as long as each instance lists at least one in `OVERLAP` of those that
    run. A replica with fewer connections than `OVERLAP` for each instance
    takes one from each of the instances that rank first for it by a hash of
    both names; the others ask other replicas.
    """
    listed = len(instances | {instance})
    part = replica.connections // (OVERLAP * listed)
    if part:
        return part
    allowed = replica.connections // OVERLAP
    own = _rank(instance, replica)
    ahead = sum(_rank(one, replica) < own for one in instances)
    return 1 if ahead < allowed else 0


def _rank(instance: str, replica: Replica) -> bytes:
    text = f'{instance}/{replica.address}'
    return blake2b(text.encode(), digest_size=8).digest()
