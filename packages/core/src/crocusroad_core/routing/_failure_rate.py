"""How often attempts at one replica were lost of late.

Answers the load of replicas that refuse or fail part of their requests while
their health and their latency look good: each attempt there costs a repeat.
"""

from typing import Final

WEIGHT: Final = 0.2  # of a new attempt in the share
# Seconds without an attempt after which a loss says nothing more: troubles of
# this kind last for about as long.
FADE_SECONDS: Final = 6.0
# What a loss costs, in seconds of latency: the detour, and the repeat that is
# missing later.
LOSS_SECONDS: Final = 0.1


class LossView:
    """The share of attempts that were lost, newer ones weighing more."""

    __slots__ = ('_at', '_share')

    def __init__(self) -> None:
        self._share: float = 0
        self._at: float = 0  # seconds; when it was last told

    def take(self, now: float, *, is_lost: bool) -> None:
        """Take how an attempt went."""
        share = self._faded(now)
        self._share = share + WEIGHT * (is_lost - share)
        self._at = now

    def cost(self, now: float) -> float:
        """Return what losses cost an attempt, in seconds of latency."""
        return self._faded(now) * LOSS_SECONDS if self._share else 0

    def _faded(self, now: float) -> float:
        age = now - self._at
        return self._share * max(0, 1 - age / FADE_SECONDS)
