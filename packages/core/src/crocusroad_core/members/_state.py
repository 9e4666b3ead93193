"""States of a member."""

from enum import IntEnum


class MemberState(IntEnum):
    """The state of a member; of two states, the greater takes precedence."""

    alive = 0
    suspect = 1  # a probe was not answered
    dead = 2  # the suspicion was not refuted in time
    left = 3  # announced by the member: final for its incarnation
