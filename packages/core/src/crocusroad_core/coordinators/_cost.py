"""The time that a fan-out costs the instance that coordinates it."""

from math import inf
from typing import Final

from crocusroad_core.sources import FleetMember

# CPU time of one shard on one whole core. From `bench.gateway_cost` and a
# busy day of 135 shards on half a core, where an answer took 0.39 ms.
SHARD_CPU_SECONDS: Final = 0.0002
# Size of one shard's answer: 400 bytes of records, and the headers.
ANSWER_BITS: Final = 4800.0
BITS_PER_MBIT: Final = 1e6
# A round trip between two instances, including wake-ups, and the addition for
# a link between zones.
ROUND_TRIP_SECONDS: Final = 0.003
CROSS_ZONE_SECONDS: Final = 0.01
# An instance coordinates for those that take at least this many times as long.
MIN_SPEEDUP: Final = 2.0


def shard_seconds(member: FleetMember) -> float:
    """Return the seconds that one shard of a fan-out takes an instance.

    Infinite if the instance does not state its cores or its link.
    """
    if not member.cores or not member.link_mbps:
        return inf
    link = ANSWER_BITS / (member.link_mbps * BITS_PER_MBIT)
    return SHARD_CPU_SECONDS / member.cores + link


def is_faster(seconds: float, than: float) -> bool:
    """Tell whether a cost per shard is at most 1/`MIN_SPEEDUP` of another."""
    return than < inf and seconds * MIN_SPEEDUP <= than


def round_trip_seconds(own: FleetMember, other: FleetMember) -> float:
    """Return the seconds to send a request to an instance and be answered."""
    cross_zone = CROSS_ZONE_SECONDS if own.zone != other.zone else 0
    return ROUND_TRIP_SECONDS + cross_zone
