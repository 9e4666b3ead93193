"""Whom to probe next."""

from collections.abc import Callable, Iterable

from xxhash import xxh3_64_intdigest

from crocusroad_core.members._member import Member

Pick = Callable[[int], int]  # a random number below its argument


class Turns:
    """Members to probe, each once a round, in a random order."""

    def __init__(self, pick: Pick) -> None:
        self._pick = pick
        self._left: list[str] = []

    def next(self, names: Callable[[], list[str]]) -> str | None:
        """Return the next name; begin a new round over `names` at the end."""
        if not self._left:
            self._left = names()
        if not self._left:
            return None
        return self._left.pop(self._pick(len(self._left)))


def partners_of(
    name: str,
    members: Iterable[Member],
    count: int,
) -> list[str]:
    """Return the members that a node probes, the same ones while they run.

    A node keeps connections to few others that way; the choice differs from
    node to node, so each node is probed by about `count` others.
    """
    present = [one.name for one in members if one.is_present and one.address]
    if len(present) <= count:
        return present
    # A checksum will not do: it is linear, so that nodes whose names resemble
    # each other would choose alike, and news would go round among them.
    seed = xxh3_64_intdigest(name.encode())
    present.sort(key=lambda other: xxh3_64_intdigest(other.encode(), seed))
    return present[:count]
