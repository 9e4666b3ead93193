"""Configuration of the membership protocol."""

from math import log10
from typing import NamedTuple

_MIN_SUSPICION_PERIODS = 4
_SUSPICION_LOG_FACTOR = 3


class MembershipConfig(NamedTuple):
    """Periods and bounds of the membership protocol."""

    probe_seconds: float = 1.0  # between two ticks
    probe_targets: int = 24  # members that a node probes in turn
    indirect_probes: int = 2  # members asked to probe one that did not answer
    broadcast_limit: int = 16  # up to this many members, a notice goes to all
    fanout: int = 3  # members that a notice goes to when there are more
    piggyback_bytes: int = 330  # of gossip in one message
    tick_bytes: int = 660  # of gossip in all messages between two ticks
    min_bytes: int = 80  # of gossip that each message may carry regardless
    transmissions: int = 24  # times that one node sends an update
    recheck_ticks: int = 5  # ticks between two probes of dead members
    forget_dead_seconds: float = 14400  # four hours
    forget_left_seconds: float = 900
    limit: int = 8192  # members in the table

    def suspicion_seconds(self, members: int) -> float:
        """Return how long a member is suspected before it is declared dead."""
        periods = max(
            _MIN_SUSPICION_PERIODS,
            _SUSPICION_LOG_FACTOR * log10(members + 1),
        )
        return periods * self.probe_seconds
