"""An instance's part of what a fleet may ask of the shards' replicas."""

from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from crocusroad_core.coordinators._cost import is_faster, shard_seconds
from crocusroad_core.sources import FleetMember

# Of its part, what an instance leaves to those that coordinate for it. The
# rest is for the fan-outs that they did not accept.
LEFT_SHARE: Final = 0.5


class _Kind(NamedTuple):
    zone: str
    seconds: float  # a shard


def fan_out_weight(own: FleetMember, members: Iterable[FleetMember]) -> float:
    """Return the part of an instance in the fleet's fan-outs; 1 is even.

    Each instance works out the same weights of the same list, so that they
    add up to the number of instances. Those in the same zone coordinate, if
    there are any.
    """
    kinds = Counter(_Kind(one.zone, shard_seconds(one)) for one in members)
    mine = _Kind(own.zone, shard_seconds(own))
    weight: float = 1
    for kind, count in kinds.items():
        helpers = _helpers(kind, kinds)
        if kind == mine and helpers:
            weight -= LEFT_SHARE
        if mine in helpers:
            weight += LEFT_SHARE * count / sum(kinds[one] for one in helpers)
    return weight


def _helpers(kind: _Kind, kinds: Iterable[_Kind]) -> list[_Kind]:
    """Return the kinds that coordinate for a kind."""
    faster = [one for one in kinds if is_faster(one.seconds, kind.seconds)]
    near = [one for one in faster if one.zone == kind.zone]
    return near or faster
