"""The crashes attributed to one fingerprint."""

from typing import NamedTuple

MAX_CRASHES = 2  # crashed upstreams over all instances, per fingerprint


class CrashEvidence(NamedTuple):
    """The names of the upstreams that crashed while running a fingerprint.

    `canary` holds the upstreams that ran the request as a canary, on no other
    upstream. `fan_out` holds those that ran it in a fan-out over many
    upstreams. The loss of a zone can crash all of these at once, so they
    count as one crash, however many they are.
    """

    canary: frozenset[str] = frozenset()
    fan_out: frozenset[str] = frozenset()

    def merge(self, other: 'CrashEvidence') -> 'CrashEvidence':
        """Return the union of the evidence of two instances."""
        return CrashEvidence(
            self.canary | other.canary, self.fan_out | other.fan_out
        )

    @property
    def is_conclusive(self) -> bool:
        """Return whether two upstreams crashed, at least one as a canary."""
        if len(self.canary) >= MAX_CRASHES:
            return True
        return bool(self.canary) and bool(self.fan_out - self.canary)
