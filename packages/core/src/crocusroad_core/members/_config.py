"""Tunables of membership."""

from math import log10
from typing import NamedTuple

_SUSPECT_PERIODS = 4
_SUSPECT_FACTOR = 3


class MembershipConfig(NamedTuple):
    """Bounds and periods of membership."""

    probe_seconds: float = 1.0  # between two ticks
    partners: int = 24  # members that a node probes in turn
    helpers: int = 2  # members asked to probe a silent one
    few: int = 16  # up to this many members, a notice goes to all
    fanout: int = 3  # members that a notice goes to when there are many
    piggyback_bytes: int = 330  # of hearsay in one message
    period_bytes: int = 660  # of hearsay in all messages between two ticks
    least_bytes: int = 80  # of hearsay that each message may carry even so
    transmissions: int = 24  # sendings of one update by one node
    recheck_ticks: int = 5  # ticks between two probes of dead members
    forget_dead_seconds: float = 14400  # four hours
    forget_left_seconds: float = 900
    limit: int = 8192  # members in the table

    def suspicion_seconds(self, members: int) -> float:
        """Return how long a suspicion may stand before it is held true."""
        periods = max(_SUSPECT_PERIODS, _SUSPECT_FACTOR * log10(members + 1))
        return periods * self.probe_seconds
