"""Which instances a replica has room for.

The load this answers: a fleet with more instances than a replica accepts
connections. Without an order each instance opens one when it has need, the
replica resets what is beyond its limit, and the requests on them are lost.
"""

from collections.abc import Sequence
from typing import Final

from xxhash import xxh3_64_intdigest

from crocusroad_core.fronts import Replica
from crocusroad_core.sources import Member

# Share of a replica's connections that have a place: the rest is for instances
# that are being replaced and for those whose list of others is old.
PLACED_SHARE: Final = 0.8


def has_place(
    own: Member,
    members: Sequence[Member],
    replica: Replica,
) -> bool:
    """Tell whether an instance is among those that a replica has room for.

    Instances of the replica's own zone come first, then the others by a hash
    of both names, so that each instance has a place at some replicas of each
    service and all instances that list the same members agree.
    """
    places = int(replica.connections * PLACED_SHARE)
    near = [one for one in members if one.zone == replica.zone]
    if own.zone != replica.zone:
        places -= len(near)
        near = [one for one in members if one.zone != replica.zone]
    if len(near) <= places:
        return True
    seed = xxh3_64_intdigest(replica.name.encode())
    rank = _rank(own, seed)
    return sum(_rank(one, seed) < rank for one in near) < places


def _rank(member: Member, seed: int) -> int:
    return xxh3_64_intdigest(member.name.encode(), seed)
