"""States of a member."""

from enum import IntEnum


class MemberState(IntEnum):
    """What a node holds about a member; a later state outranks an earlier."""

    alive = 0
    suspect = 1  # a probe was not answered
    dead = 2  # the suspicion was not refuted in time
    left = 3  # said so itself: final for its incarnation
