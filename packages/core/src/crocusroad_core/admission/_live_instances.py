"""The number of live instances, by which fleet-wide limits are divided."""

HOLD_SECONDS = 60.0


class LiveInstanceCount:
    """The largest number of live instances within the last `HOLD_SECONDS`.

    A new instance lowers the share of every instance at once; a lost
    instance raises it only after `HOLD_SECONDS`. A wrong view of membership,
    or old and new instances that run side by side, therefore cannot add up
    to more than the limit.
    """

    def __init__(self) -> None:
        self._observed: list[tuple[float, int]] = []

    def observe(self, count: int, now: float) -> None:
        """Record the number of live instances seen at a time."""
        larger = [entry for entry in self._observed if entry[1] > count]
        self._observed = [*_recent(larger, now), (now, max(1, count))]

    def share_of(self, limit: float, now: float) -> float:
        """Return this instance's share of a fleet-wide limit."""
        observed = _recent(self._observed, now) or self._observed[-1:]
        return limit / max((count for _, count in observed), default=1)


def _recent(
    observed: list[tuple[float, int]],
    now: float,
) -> list[tuple[float, int]]:
    return [entry for entry in observed if now - entry[0] < HOLD_SECONDS]
