"""The order of updates about one member."""

from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate

Order = tuple[int, bool, int, int]


def precedence_of(update: MemberUpdate) -> Order:
    """Return the place of an update in the order of its member's updates.

    The order is total, so nodes that received the same updates hold the
    same state whatever came first, twice or late.
    """
    has_left = update.state == MemberState.left
    return (update.incarnation, has_left, update.beat, update.state)


def supersedes(update: MemberUpdate, held: MemberUpdate) -> bool:
    """Tell whether an update overrides what is held."""
    return precedence_of(update) > precedence_of(held)
