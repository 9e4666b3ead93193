"""The index versions that a replica last reported."""

from typing import NamedTuple

MAX_AGE_SECONDS = 30.0  # older reports are ignored


class ReplicaVersions(NamedTuple):
    """The index versions that a replica is known to serve or to lack."""

    served: frozenset[int]
    missing: frozenset[int]
    is_complete: bool  # `served` lists every version of the replica
    updated_at: float  # seconds, clock of the node

    def serves(self, version: int, now: float) -> bool | None:
        """Return whether the replica serves a version; None if unknown."""
        if now - self.updated_at > MAX_AGE_SECONDS:
            return None
        if version in self.served:
            return True
        if self.is_complete or version in self.missing:
            return False
        return None


UNKNOWN_VERSIONS = ReplicaVersions(
    frozenset(), frozenset(), is_complete=False, updated_at=0
)
