"""How long claims live."""

from typing import Final

from crocusroad_core.claims._key import (
    KEY_LIFETIME_SECONDS,
    MAX_CLOCK_SKEW_SECONDS,
    MAX_KEY_LEAD_SECONDS,
)

MAX_ACTION_SECONDS: Final = 3600.0  # seconds; the longest deadline of a kind
LEASE_JOIN_SECONDS: Final = (
    3600.0  # seconds for which new claims join one lease
)

# A claim that joins in the last second of use, by a holder whose swap then
# takes as long as an action may, still outlives every clock's acceptance of
# its key.
LEASE_TTL_SECONDS: Final = (
    MAX_KEY_LEAD_SECONDS
    + KEY_LIFETIME_SECONDS
    + MAX_CLOCK_SKEW_SECONDS
    + MAX_ACTION_SECONDS
    + LEASE_JOIN_SECONDS
)


class Lease:
    """The lease that this node's new claims join."""

    def __init__(self) -> None:
        self._name = ''
        self._until = float(0)

    def current(self, now: float) -> str:
        """Return the lease to join; empty: grant a new one first."""
        return self._name if now < self._until else ''

    def renew(self, name: str, asked_at: float) -> None:
        """Take a new lease that was asked for at a time."""
        self._name = name
        self._until = asked_at + LEASE_JOIN_SECONDS

    def discard(self, name: str) -> None:
        """Note that the KV does not know a lease."""
        if name == self._name:
            self._name = ''
