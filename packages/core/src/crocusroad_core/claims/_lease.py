"""The KV lease that bounds the lifetime of claims."""

from typing import Final

from crocusroad_core.claims._key import (
    KEY_LIFETIME_SECONDS,
    MAX_CLOCK_SKEW_SECONDS,
    MAX_KEY_LEAD_SECONDS,
)

MAX_ACTION_SECONDS: Final = 3600.0  # longest deadline of a request kind
LEASE_JOIN_SECONDS: Final = 3600.0  # while new claims join one lease

# A claim has to outlive the acceptance of its key by every clock, also if it
# joins the lease at the end of LEASE_JOIN_SECONDS and its swap then takes
# MAX_ACTION_SECONDS.
LEASE_TTL_SECONDS: Final = (
    MAX_KEY_LEAD_SECONDS
    + KEY_LIFETIME_SECONDS
    + MAX_CLOCK_SKEW_SECONDS
    + MAX_ACTION_SECONDS
    + LEASE_JOIN_SECONDS
)


class Lease:
    """The lease that new claims of this node join."""

    def __init__(self) -> None:
        self._lease_id = ''
        self._joinable_until = float(0)

    def current(self, now: float) -> str:
        """Return the ID of the lease to join, or '' if a new one is needed."""
        return self._lease_id if now < self._joinable_until else ''

    def renew(self, lease_id: str, requested_at: float) -> None:
        """Replace the lease by a new one that was requested at a time."""
        self._lease_id = lease_id
        self._joinable_until = requested_at + LEASE_JOIN_SECONDS

    def discard(self, lease_id: str) -> None:
        """Stop using a lease that the KV no longer has."""
        if lease_id == self._lease_id:
            self._lease_id = ''
