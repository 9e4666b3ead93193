"""The table of members that a node knows."""

from collections.abc import Iterable

from crocusroad_core.members._config import MembershipConfig
from crocusroad_core.members._listed_node import ListedNode
from crocusroad_core.members._member import Member
from crocusroad_core.members._precedence import supersedes
from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate


class MemberTable:
    """The members other than this node by name, at most `cfg.limit`."""

    def __init__(self, cfg: MembershipConfig) -> None:
        self._cfg = cfg
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        """Return the number of members, including dead and left ones."""
        return len(self._members)

    def find(self, name: str) -> Member | None:
        """Return a member, or None."""
        return self._members.get(name)

    def all_members(self) -> Iterable[Member]:
        """Return all members, including dead and left ones."""
        return self._members.values()

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Apply an update if it is newer; tell whether it was applied."""
        known = self._members.get(update.name)
        if known is None:
            return self._add(Member(update, now), now)
        if not supersedes(update, known.update):
            return False
        merged = update._replace(
            address=update.address or known.address,
            zone=update.zone or known.zone,
        )
        self._members[update.name] = known._replace(
            update=merged,
            changed_at=now,
            position=_position(known, update),
        )
        return True

    def record_contact(
        self,
        update: MemberUpdate,
        position: int,
        now: float,
    ) -> None:
        """Record that a member sent a message to this node."""
        known = self._members.get(update.name)
        if known and known.update.incarnation == update.incarnation:
            self._members[update.name] = known._replace(
                last_contact_at=now,
                position=max(position, known.position),
            )

    def apply_listing(self, listed: Iterable[ListedNode], now: float) -> None:
        """Add the nodes that the platform lists; drop none that it omits.

        The list may be out of date: it says where a node may be found, not
        whether it runs.
        """
        nodes = {node.name: node for node in listed}
        for node in nodes.values():
            self._add_listed(node, now)
        for name, known in self._members.items():
            if known.is_listed and name not in nodes:
                self._members[name] = known._replace(
                    is_listed=False,
                    is_listed_leaving=False,
                )

    def drop_expired(self, now: float) -> None:
        """Drop the members that are dead or left for long and not listed."""
        expired = [
            member.name
            for member in self.all_members()
            if self._is_expired(member, now)
        ]
        for name in expired:
            self._members.pop(name)

    def _add_listed(self, node: ListedNode, now: float) -> None:
        if node.name not in self._members:
            initial = MemberUpdate(node.name, 0, 0, 0, node.address, node.zone)
            self._add(Member(initial, now), now)
        known = self._members.get(node.name)
        if known is None:
            return
        update = known.update
        if not (known.is_present and update.address):
            # The node may have been restarted at another address.
            update = update._replace(address=node.address, zone=node.zone)
        self._members[node.name] = known._replace(
            update=update,
            is_listed=True,
            is_listed_leaving=node.is_leaving,
        )

    def _add(self, member: Member, now: float) -> bool:
        if len(self._members) >= self._cfg.limit:
            self._drop_oldest_absent()
        if len(self._members) >= self._cfg.limit:
            return False
        self._members[member.name] = member
        return True

    def _drop_oldest_absent(self) -> None:
        absent = [
            member for member in self.all_members() if not member.is_present
        ]
        if absent:
            oldest = min(absent, key=lambda member: member.changed_at)
            self._members.pop(oldest.name)

    def _is_expired(self, member: Member, now: float) -> bool:
        if member.is_present or member.is_listed:
            return False
        max_age = self._cfg.forget_dead_seconds
        if member.state == MemberState.left:
            max_age = self._cfg.forget_left_seconds
        return now - member.changed_at > max_age


def _position(known: Member, update: MemberUpdate) -> int:
    # A restarted node starts without configuration.
    is_same = known.update.incarnation == update.incarnation
    return known.position if is_same else 0
