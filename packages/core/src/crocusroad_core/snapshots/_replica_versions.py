"""What a replica was last heard to serve."""

from typing import NamedTuple

MAX_AGE_SECONDS = 30.0  # older news counts as none


class VersionNews(NamedTuple):
    """The index versions a replica serves, as far as it was heard of."""

    served: frozenset[int]
    lacking: frozenset[int]
    is_whole: bool  # `served` lists every version the replica has
    heard_at: float  # seconds, clock of the node

    def serves(self, version: int, now: float) -> bool | None:
        """Tell whether the replica serves a version; None if unknown."""
        if now - self.heard_at > MAX_AGE_SECONDS:
            return None
        if version in self.served:
            return True
        if self.is_whole or version in self.lacking:
            return False
        return None


NO_NEWS = VersionNews(frozenset(), frozenset(), is_whole=False, heard_at=0)
