"""One member as a node sees it."""

from typing import NamedTuple

from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate


class Member(NamedTuple):
    """What a node holds about another node."""

    update: MemberUpdate
    changed_at: float  # when the state last changed here, seconds
    last_contact_at: float = 0  # when it last spoke to this node; 0: never
    position: int = 0  # of its configuration, as it said last
    is_listed: bool = False
    is_listed_leaving: bool = False

    @property
    def name(self) -> str:
        """Return the name of the node."""
        return self.update.name

    @property
    def address(self) -> str:
        """Return where its peers reach it; empty: not known."""
        return self.update.address

    @property
    def zone(self) -> str:
        """Return its availability zone."""
        return self.update.zone

    @property
    def state(self) -> MemberState:
        """Return its state."""
        return MemberState(self.update.state)

    @property
    def is_present(self) -> bool:
        """Tell whether it is held to be running: alive or suspect."""
        return self.update.state <= MemberState.suspect
