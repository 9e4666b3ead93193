"""The weight of an instance in the limits on requests to replicas."""

from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from crocusroad_core.coordinators._cost import is_faster, shard_seconds
from crocusroad_core.sources import FleetMember

# The part of its weight that an instance cedes to its coordinators. It keeps
# the rest for the fan-outs that they do not accept.
CEDED_RATIO: Final = 0.5


class _SpeedClass(NamedTuple):
    zone: str
    seconds: float  # per shard


def fan_out_weight(own: FleetMember, members: Iterable[FleetMember]) -> float:
    """Return an instance's weight in the fleet's fan-outs; 1 is average.

    Every instance computes the same weights from the same list, so the
    weights add up to the number of instances. Instances in the same zone
    coordinate if there are any.
    """
    classes = Counter(
        _SpeedClass(member.zone, shard_seconds(member)) for member in members
    )
    own_class = _SpeedClass(own.zone, shard_seconds(own))
    weight: float = 1
    for speed_class, count in classes.items():
        coordinators = _coordinators_of(speed_class, classes)
        if speed_class == own_class and coordinators:
            weight -= CEDED_RATIO
        if own_class in coordinators:
            weight += (
                CEDED_RATIO
                * count
                / sum(classes[coordinator] for coordinator in coordinators)
            )
    return weight


def _coordinators_of(
    speed_class: _SpeedClass,
    classes: Iterable[_SpeedClass],
) -> list[_SpeedClass]:
    """Return the classes that coordinate for a class."""
    faster = [
        other
        for other in classes
        if is_faster(other.seconds, speed_class.seconds)
    ]
    same_zone = [other for other in faster if other.zone == speed_class.zone]
    return same_zone or faster
