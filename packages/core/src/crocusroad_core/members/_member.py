"""A member as one node sees it."""

from typing import NamedTuple

from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate


class Member(NamedTuple):
    """The view that a node has of another node."""

    update: MemberUpdate
    changed_at: float  # when the state last changed in this view, seconds
    last_contact_at: float = 0  # last message to this node; 0: none yet
    position: int = 0  # configuration revision that it last reported
    is_listed: bool = False
    is_listed_leaving: bool = False

    @property
    def name(self) -> str:
        """Return the name of the node."""
        return self.update.name

    @property
    def address(self) -> str:
        """Return the address of its peer channel; empty: unknown."""
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
        """Tell whether it is considered running: alive or suspect."""
        return self.update.state <= MemberState.suspect
