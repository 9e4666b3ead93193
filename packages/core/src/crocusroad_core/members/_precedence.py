"""The total order of updates about one member."""

from crocusroad_core.members._state import MemberState
from crocusroad_wire import MemberUpdate

Precedence = tuple[int, bool, int, int]


def precedence_of(update: MemberUpdate) -> Precedence:
    """Return the sort key of an update among those of its member.

    The order is total, so nodes that received the same updates reach the
    same state, whatever the order, repetition or delay of the updates.
    """
    has_left = update.state == MemberState.left
    return (update.incarnation, has_left, update.beat, update.state)


def supersedes(update: MemberUpdate, current: MemberUpdate) -> bool:
    """Tell whether an update overrides the current one."""
    return precedence_of(update) > precedence_of(current)
