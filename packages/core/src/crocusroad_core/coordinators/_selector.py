"""The instance that coordinates a fan-out, in place of a slower one.

Answers the load of fan-outs over many shards at a fleet of unequal instances:
on a slow one, reading the answers takes as long as the objective allows, and
each of many instances sees too few fan-outs to know which replicas are slow.
"""

from collections import Counter
from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from crocusroad_core.coordinators._cost import (
    is_faster,
    round_trip_seconds,
    shard_seconds,
)
from crocusroad_core.sources import FleetMember

# What another instance has to save.
LEAST_GAIN_SECONDS: Final = 0.005
# One that did not answer is not asked for this long, in seconds: most are
# back from a restart by then. One that is busy has read what it has sooner,
# one that stops or has another configuration has not.
SILENT_SECONDS: Final = 5.0
BUSY_SECONDS: Final = 0.1
UNLIKE_SECONDS: Final = 0.5


def coordinators_for(
    own: FleetMember, members: Iterable[FleetMember]
) -> list[FleetMember]:
    """Return the instances that are clearly faster than `own`."""
    own_seconds = shard_seconds(own)
    return [
        one for one in members if is_faster(shard_seconds(one), own_seconds)
    ]


class CoordinatorSelector:
    """The faster instances, what they were given and which are in doubt."""

    def __init__(self, own: FleetMember) -> None:
        self._own = own
        self._own_seconds = shard_seconds(own)
        self._faster: list[FleetMember] = []
        self._open: Counter[str] = Counter()  # shards given, by name
        self._shunned: dict[str, float] = {}  # until when, by name
        self.has_member_list = False  # whether the members are known

    @property
    def has_candidates(self) -> bool:
        """Tell whether any instance is clearly faster than this one."""
        return bool(self._faster)

    def on_members(self, members: Iterable[FleetMember]) -> None:
        """Take the list of instances."""
        self.has_member_list = True
        self._faster = sorted(
            coordinators_for(self._own, members),
            key=lambda one: _rank(self._own, one),
        )
        names = {one.name for one in self._faster}
        self._shunned = {
            name: until
            for name, until in self._shunned.items()
            if name in names
        }

    def choose(self, shards: int, now: float) -> FleetMember | None:
        """Return the instance to give a fan-out to; None to keep it."""
        usable = [
            one
            for one in self._faster
            if self._shunned.get(one.name, now) <= now
        ]
        if not usable:
            return None
        best = min(usable, key=lambda one: self._seconds(one, shards))
        gain = self._own_seconds * shards - self._seconds(best, shards)
        return best if gain >= LEAST_GAIN_SECONDS else None

    def on_delegated(self, member: FleetMember, shards: int) -> None:
        """Count a fan-out that is given to another instance."""
        self._open[member.name] += shards

    def on_finished(self, member: FleetMember, shards: int) -> None:
        """Take the end of a fan-out that was given."""
        self._open[member.name] -= shards

    def on_failure(self, member: FleetMember, now: float) -> None:
        """Take that an instance did not say that it works on a fan-out."""
        self._shunned[member.name] = now + SILENT_SECONDS

    def on_refusal(
        self,
        member: FleetMember,
        now: float,
        *,
        is_busy: bool,
    ) -> None:
        """Take that an instance did not accept a fan-out."""
        pause = BUSY_SECONDS if is_busy else UNLIKE_SECONDS
        self._shunned[member.name] = now + pause

    def _seconds(self, member: FleetMember, shards: int) -> float:
        ahead = self._open[member.name] + shards
        return ahead * shard_seconds(member) + round_trip_seconds(
            self._own, member
        )


def _rank(own: FleetMember, other: FleetMember) -> bytes:
    # Each instance begins with another one of those that are alike.
    text = f'{own.name}/{other.name}'
    return blake2b(text.encode(), digest_size=8).digest()
