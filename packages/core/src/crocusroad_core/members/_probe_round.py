"""Selection of the members to probe."""

from collections.abc import Callable, Iterable

from xxhash import xxh3_64_intdigest

from crocusroad_core.members._member import Member

RandomBelow = Callable[[int], int]  # a random number below its argument


class ProbeRound:
    """The members still to probe in a round, in a random order."""

    def __init__(self, random_below: RandomBelow) -> None:
        self._random_below = random_below
        self._remaining: list[str] = []

    def next(self, names: Callable[[], list[str]]) -> str | None:
        """Return the next name; start a round over `names` when one ends."""
        if not self._remaining:
            self._remaining = names()
        if not self._remaining:
            return None
        return self._remaining.pop(self._random_below(len(self._remaining)))


def choose_probe_targets(
    name: str,
    members: Iterable[Member],
    count: int,
) -> list[str]:
    """Return the members that a node probes, stable while they run.

    A node thereby keeps connections to few others. The choice differs
    between nodes, so each node is probed by about `count` others.
    """
    present = [
        member.name
        for member in members
        if member.is_present and member.address
    ]
    if len(present) <= count:
        return present
    # A checksum is linear, so nodes with similar names would choose the same
    # targets, and gossip would circulate among them only.
    seed = xxh3_64_intdigest(name.encode())
    present.sort(key=lambda other: xxh3_64_intdigest(other.encode(), seed))
    return present[:count]
