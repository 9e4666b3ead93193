"""Which instances read the store, and whom the others ask."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from crocusroad_core.sources._fleet_member import FleetMember

# Two readers, so that one may be lost; in a large fleet one for each zone,
# as long as each has this many instances to tell.
LEAST_READERS: Final = 2
FOLLOWERS: Final = 8
# A source that failed is not asked again for this long, in seconds: longer
# than a restart, shorter than the lease of an instance that is gone.
SHUN_SECONDS: Final = 5.0
# One that answers but has lost the store is asked again this soon, in seconds:
# most often only its connection was cut. Meanwhile the store is asked by all
# that follow it.
DOUBT_SECONDS: Final = 0.4


class SourceSelector:
    """Chooses the instances that read the store, alike on each instance.

    Readers are the first of each zone by a hash of their names, so that
    instances that list the same members agree without a word. One that
    lists too few or too many members only asks a source less well chosen.
    """

    def __init__(self, own: FleetMember) -> None:
        self._own = own
        self._readers: tuple[FleetMember, ...] = ()
        self._shunned: dict[str, float] = {}  # until when, by address
        self.count = 0  # members listed

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance reads the store itself."""
        return any(one.name == self._own.name for one in self._readers)

    @property
    def is_follower(self) -> bool:
        """Tell whether other instances read the store for this one."""
        return bool(self._readers) and not self.is_reader

    def on_members(self, members: Iterable[FleetMember]) -> None:
        """Take the list of instances."""
        ranked = sorted(members, key=_rank)
        self.count = len(ranked)
        firsts: dict[str, FleetMember] = {}
        for member in ranked:
            firsts.setdefault(member.zone, member)
        rest = [one for one in ranked if firsts[one.zone] is not one]
        wanted = max(LEAST_READERS, self.count // FOLLOWERS)
        spread = [*firsts.values(), *rest[:LEAST_READERS]]
        self._readers = tuple(spread[: min(wanted, max(2, len(firsts)))])

    def on_fault(
        self,
        source: FleetMember,
        now: float,
        *,
        is_unresponsive: bool,
    ) -> None:
        """Take that a source did not answer, or knew nothing to tell."""
        pause = SHUN_SECONDS if is_unresponsive else DOUBT_SECONDS
        self._shunned[source.address] = now + pause

    def sources(
        self, now: float, *, is_disconnected: bool = False
    ) -> list[FleetMember]:
        """Return the instances to ask, best first; then the store itself.

        A reader asks the others only while it `is_cut` off from the store.
        """
        if self.is_reader and not is_disconnected:
            return []
        others = [one for one in self._readers if one.name != self._own.name]
        if not others:
            return []
        start = _number(self._own) % len(others)
        turned = others[start:] + others[:start]
        fine = [one for one in turned if self._is_fine(one, now)]
        return sorted(fine, key=lambda one: one.zone != self._own.zone)

    def _is_fine(self, source: FleetMember, now: float) -> bool:
        return self._shunned.get(source.address, now) <= now


def _rank(member: FleetMember) -> tuple[float, int, str]:
    """Put the widest links first, and those alike in the order of a hash."""
    return -member.link_mbps, _number(member), member.name


def _number(member: FleetMember) -> int:
    digest = blake2b(member.name.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
