"""The number of live instances, for dividing fleet-wide limits."""

HOLD_SECONDS = 60.0


class LiveInstanceCount:
    """The largest number of live instances seen lately.

    A new instance shrinks each part at once; a lost one is given up only
    after `HOLD_SECONDS`, so that a wrong view of membership, or old and new
    instances side by side, do not add up to more than the limit.
    """

    def __init__(self) -> None:
        self._seen: list[tuple[float, int]] = []

    def observe(self, count: int, now: float) -> None:
        """Take a view of membership."""
        kept = [entry for entry in self._seen if entry[1] > count]
        self._seen = [*_fresh(kept, now), (now, max(1, count))]

    def share_of(self, limit: float, now: float) -> float:
        """Return this instance's part of a limit of the whole fleet."""
        seen = _fresh(self._seen, now) or self._seen[-1:]
        return limit / max((count for _, count in seen), default=1)


def _fresh(
    seen: list[tuple[float, int]],
    now: float,
) -> list[tuple[float, int]]:
    return [entry for entry in seen if now - entry[0] < HOLD_SECONDS]
