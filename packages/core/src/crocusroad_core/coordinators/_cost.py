"""What a fan-out costs the instance that coordinates it."""

from math import inf
from typing import Final

from crocusroad_core.sources import FleetMember

# Of one shard, on one whole core: `bench.gateway_cost` and a busy day of 135
# shards on half a core, where an answer took 0.39 ms.
WORK_SECONDS: Final = 0.0002
# Of one shard's answer, with its headers: 400 bytes of records.
ANSWER_BITS: Final = 4800.0
BITS_PER_MBIT: Final = 1e6
# From one instance to another and back, its wake-ups included; and what a
# link between zones adds.
HOP_SECONDS: Final = 0.003
CROSSING_SECONDS: Final = 0.01
# An instance coordinates for those that take so many times as long.
FASTER: Final = 2.0


def shard_seconds(member: FleetMember) -> float:
    """Return what one shard of a fan-out takes of an instance, in seconds.

    Infinite where the instance does not say how fast it is.
    """
    if not member.cores or not member.link_mbps:
        return inf
    link = ANSWER_BITS / (member.link_mbps * BITS_PER_MBIT)
    return WORK_SECONDS / member.cores + link


def is_faster(seconds: float, than: float) -> bool:
    """Tell whether a cost of a shard is clearly below another one."""
    return than < inf and seconds * FASTER <= than


def round_trip_seconds(own: FleetMember, other: FleetMember) -> float:
    """Return what it takes to ask another instance and to be answered."""
    crossing = CROSSING_SECONDS if own.zone != other.zone else 0
    return HOP_SECONDS + crossing
