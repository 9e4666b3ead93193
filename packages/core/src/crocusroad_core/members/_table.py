"""The members that a node knows."""

from collections.abc import Iterable

from crocusroad_core.members._config import MembershipConfig
from crocusroad_core.members._listed_node import ListedNode
from crocusroad_core.members._member import Member
from crocusroad_core.members._precedence import supersedes
from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate


class MemberTable:
    """Every member but this node itself, by name; bounded."""

    def __init__(self, cfg: MembershipConfig) -> None:
        self._cfg = cfg
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        """Return the number of members, those gone included."""
        return len(self._members)

    def find(self, name: str) -> Member | None:
        """Return a member, or None."""
        return self._members.get(name)

    def every(self) -> Iterable[Member]:
        """Return every member, those gone included."""
        return self._members.values()

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Take an update if it is newer; tell whether it was."""
        held = self._members.get(update.name)
        if held is None:
            return self._add(Member(update, now), now)
        if not supersedes(update, held.update):
            return False
        whole = update._replace(
            address=update.address or held.address,
            zone=update.zone or held.zone,
        )
        self._members[update.name] = held._replace(
            update=whole,
            changed_at=now,
            position=_position(held, update),
        )
        return True

    def hear(self, update: MemberUpdate, position: int, now: float) -> None:
        """Note that a member spoke to this node."""
        held = self._members.get(update.name)
        if held and held.update.incarnation == update.incarnation:
            self._members[update.name] = held._replace(
                last_contact_at=now,
                position=max(position, held.position),
            )

    def apply_listing(self, listed: Iterable[ListedNode], now: float) -> None:
        """Add the nodes that the platform lists; forget none it omits.

        The list lags: it tells where a node may be found, not whether it
        runs.
        """
        nodes = {one.name: one for one in listed}
        for node in nodes.values():
            self._adopt(node, now)
        for name, held in self._members.items():
            if held.is_listed and name not in nodes:
                self._members[name] = held._replace(
                    is_listed=False,
                    is_listed_leaving=False,
                )

    def forget(self, now: float) -> None:
        """Drop the members that are gone for long and not listed."""
        gone = [one.name for one in self.every() if self._is_over(one, now)]
        for name in gone:
            self._members.pop(name)

    def _adopt(self, node: ListedNode, now: float) -> None:
        if node.name not in self._members:
            initial = MemberUpdate(node.name, 0, 0, 0, node.address, node.zone)
            self._add(Member(initial, now), now)
        held = self._members.get(node.name)
        if held is None:
            return
        update = held.update
        if not (held.is_present and update.address):
            # The name may have come back at another address.
            update = update._replace(address=node.address, zone=node.zone)
        self._members[node.name] = held._replace(
            update=update,
            is_listed=True,
            is_listed_leaving=node.is_leaving,
        )

    def _add(self, member: Member, now: float) -> bool:
        if len(self._members) >= self._cfg.limit:
            self._drop_oldest_gone()
        if len(self._members) >= self._cfg.limit:
            return False
        self._members[member.name] = member
        return True

    def _drop_oldest_gone(self) -> None:
        gone = [one for one in self.every() if not one.is_present]
        if gone:
            oldest = min(gone, key=lambda one: one.changed_at)
            self._members.pop(oldest.name)

    def _is_over(self, member: Member, now: float) -> bool:
        if member.is_present or member.is_listed:
            return False
        bound = self._cfg.forget_dead_seconds
        if member.state == MemberState.left:
            bound = self._cfg.forget_left_seconds
        return now - member.changed_at > bound


def _position(held: Member, update: MemberUpdate) -> int:
    # A restarted node begins without configuration.
    same = held.update.incarnation == update.incarnation
    return held.position if same else 0
