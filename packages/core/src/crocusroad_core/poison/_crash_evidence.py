"""What is known against one fingerprint."""

from typing import NamedTuple

MAX_CRASHES = 2  # upstreams, over the whole fleet


class CrashEvidence(NamedTuple):
    """The upstreams that broke while they ran one fingerprint.

    `alone` are those of canaries: the request was on one upstream only.
    `fanned` are those of a fan-out over many upstreams at once, which one
    loss of a zone can break together; however many, they weigh as one.
    """

    alone: frozenset[str] = frozenset()
    fanned: frozenset[str] = frozenset()

    def join(self, other: 'CrashEvidence') -> 'CrashEvidence':
        """Return the union of what two instances know."""
        return CrashEvidence(
            self.alone | other.alone, self.fanned | other.fanned
        )

    @property
    def is_proved(self) -> bool:
        """Tell whether two distinct upstreams broke, one of them alone."""
        if len(self.alone) >= MAX_CRASHES:
            return True
        return bool(self.alone) and bool(self.fanned - self.alone)
