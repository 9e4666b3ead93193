"""Selection of the instances that read the store for the others."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from crocusroad_core.sources._fleet_member import FleetMember

# Two readers, so that one may fail. A large fleet has one reader for each
# zone, as long as there is this number of instances for each reader.
MIN_READERS: Final = 2
MEMBERS_PER_READER: Final = 8
# How long a source that did not answer is skipped: longer than a restart,
# shorter than the lease of an instance that is gone.
UNRESPONSIVE_BACKOFF_SECONDS: Final = 5.0
# How long a source is skipped that answers but has lost the store, or whose
# process restarts: most often it is back soon. Until then its followers all
# ask the store.
DISCONNECTED_BACKOFF_SECONDS: Final = 0.4


class SourceSelector:
    """Chooses the instances that read the store, without coordination.

    All instances rank the members by link and by a hash of the name, and take
    the first of each zone as readers, so those that know the same members
    agree. An instance that knows too few or too many members only asks a
    source that is less well chosen.
    """

    def __init__(self, own: FleetMember) -> None:
        self._own = own
        self._readers: tuple[FleetMember, ...] = ()
        self._backoff_until: dict[str, float] = {}  # by address
        self.count = 0  # members listed

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance reads the store itself."""
        return any(reader.name == self._own.name for reader in self._readers)

    @property
    def is_follower(self) -> bool:
        """Tell whether other instances read the store for this one."""
        return bool(self._readers) and not self.is_reader

    @property
    def other_readers(self) -> tuple[FleetMember, ...]:
        """Return the readers except this instance."""
        own_name = self._own.name
        return tuple(
            reader for reader in self._readers if reader.name != own_name
        )

    def on_members(self, members: Iterable[FleetMember]) -> None:
        """Replace the list of instances and choose the readers."""
        ranked = sorted(members, key=_rank)
        self.count = len(ranked)
        first_by_zone: dict[str, FleetMember] = {}
        for member in ranked:
            first_by_zone.setdefault(member.zone, member)
        others = [
            other for other in ranked if first_by_zone[other.zone] is not other
        ]
        wanted = max(MIN_READERS, self.count // MEMBERS_PER_READER)
        candidates = [*first_by_zone.values(), *others[:MIN_READERS]]
        self._readers = tuple(
            candidates[: min(wanted, max(2, len(first_by_zone)))]
        )

    def on_fault(
        self,
        source: FleetMember,
        now: float,
        *,
        is_unresponsive: bool,
    ) -> None:
        """Back off from a source that failed or that has lost the store."""
        backoff = (
            UNRESPONSIVE_BACKOFF_SECONDS
            if is_unresponsive
            else DISCONNECTED_BACKOFF_SECONDS
        )
        self._backoff_until[source.address] = now + backoff

    def sources(
        self,
        now: float,
        *,
        is_disconnected: bool = False,
    ) -> list[FleetMember]:
        """Return the instances to ask, best first; then ask the store itself.

        A reader asks other readers only while it `is_disconnected` from the
        store.
        """
        if self.is_reader and not is_disconnected:
            return []
        others = self.other_readers
        if not others:
            return []
        start = _hash(self._own) % len(others)
        rotated = others[start:] + others[:start]
        usable = [source for source in rotated if self._is_usable(source, now)]
        return sorted(
            usable,
            key=lambda source: source.zone != self._own.zone,
        )

    def _is_usable(self, source: FleetMember, now: float) -> bool:
        return self._backoff_until.get(source.address, now) <= now


def _rank(member: FleetMember) -> tuple[float, int, str]:
    """Return a sort key: fastest link first, then by hash of the name."""
    return -member.link_mbps, _hash(member), member.name


def _hash(member: FleetMember) -> int:
    digest = blake2b(member.name.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
