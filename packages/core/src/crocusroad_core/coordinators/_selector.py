"""Selection of a faster instance to coordinate a fan-out.

In a fleet of unequal instances, a slow one needs the whole latency objective
to read the answers of a fan-out over many shards. Each of many instances also
sees too few fan-outs to learn which replicas are slow.
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

# A fan-out is delegated only if that saves at least this much time.
MIN_GAIN_SECONDS: Final = 0.005
# How long a coordinator is skipped. After a failure: most instances have
# restarted by then. A busy one has finished its backlog sooner; one that is
# stopping or has another configuration has not.
FAILURE_BACKOFF_SECONDS: Final = 5.0
BUSY_BACKOFF_SECONDS: Final = 0.1
REFUSAL_BACKOFF_SECONDS: Final = 0.5


def coordinators_for(
    own: FleetMember,
    members: Iterable[FleetMember],
) -> list[FleetMember]:
    """Return the instances that are fast enough to coordinate for `own`."""
    own_seconds = shard_seconds(own)
    return [
        member
        for member in members
        if is_faster(shard_seconds(member), own_seconds)
    ]


class CoordinatorSelector:
    """The faster instances, with their delegated load and backoff times."""

    def __init__(self, own: FleetMember) -> None:
        self._own = own
        self._own_seconds = shard_seconds(own)
        self._candidates: list[FleetMember] = []
        self._delegated: Counter[str] = Counter()  # shards in flight, by name
        self._backoff_until: dict[str, float] = {}  # by name
        self.has_member_list = False  # whether on_members was called

    @property
    def has_candidates(self) -> bool:
        """Tell whether any instance is fast enough to coordinate."""
        return bool(self._candidates)

    def on_members(self, members: Iterable[FleetMember]) -> None:
        """Replace the list of instances."""
        self.has_member_list = True
        self._candidates = sorted(
            coordinators_for(self._own, members),
            key=lambda member: _rank(self._own, member),
        )
        names = {member.name for member in self._candidates}
        self._backoff_until = {
            name: until
            for name, until in self._backoff_until.items()
            if name in names
        }

    def choose(self, shards: int, now: float) -> FleetMember | None:
        """Return the coordinator of a fan-out; None: do not delegate it."""
        usable = [
            member
            for member in self._candidates
            if self._backoff_until.get(member.name, now) <= now
        ]
        if not usable:
            return None
        best = min(usable, key=lambda member: self._seconds(member, shards))
        gain = self._own_seconds * shards - self._seconds(best, shards)
        return best if gain >= MIN_GAIN_SECONDS else None

    def on_delegated(self, member: FleetMember, shards: int) -> None:
        """Record that a fan-out was delegated to an instance."""
        self._delegated[member.name] += shards

    def on_finished(self, member: FleetMember, shards: int) -> None:
        """Record that a delegated fan-out has ended."""
        self._delegated[member.name] -= shards

    def on_failure(self, member: FleetMember, now: float) -> None:
        """Back off from an instance that did not acknowledge a fan-out."""
        self._backoff_until[member.name] = now + FAILURE_BACKOFF_SECONDS

    def on_refusal(
        self,
        member: FleetMember,
        now: float,
        *,
        is_busy: bool,
    ) -> None:
        """Back off from an instance that refused a fan-out."""
        backoff = BUSY_BACKOFF_SECONDS if is_busy else REFUSAL_BACKOFF_SECONDS
        self._backoff_until[member.name] = now + backoff

    def _seconds(self, member: FleetMember, shards: int) -> float:
        queued = self._delegated[member.name] + shards
        return queued * shard_seconds(member) + round_trip_seconds(
            self._own,
            member,
        )


def _rank(own: FleetMember, other: FleetMember) -> bytes:
    # Ties go to the first candidate, so the order differs between instances.
    text = f'{own.name}/{other.name}'
    return blake2b(text.encode(), digest_size=8).digest()
