"""An instance's part of the repeats that a service may get."""

from typing import Final, NamedTuple

# Part of the bound that an instance may save up. The rest is for instances
# that restart: each begins with a quarter of its part, so that a whole fleet
# may restart once in a window.
USED_SHARE: Final = 0.8
START_SHARE: Final = 0.25
LEAST_INSTANCES: Final = 8  # to share the fixed part among until counted


class RepeatBounds(NamedTuple):
    """The repeats that a service may get, over all instances.

    In any window: `share` times the requests for it, and `slack` more.
    """

    share: float
    slack: float
    window: float  # seconds


class RepeatBudget:
    """Tokens for repeats by service.

    Each request for a service earns a share of a token. Tokens beyond this
    instance's part of the slack are lost, so that over any window the repeats
    are at most that part plus the share of the window's requests.
    """

    def __init__(self, bounds: RepeatBounds) -> None:
        self._bounds = bounds
        self._instances = LEAST_INSTANCES
        self._tokens: dict[str, float] = {}

    @property
    def part(self) -> float:
        """Return the tokens that may be saved up for a service."""
        return self._bounds.slack * USED_SHARE / self._instances

    def on_instances(self, count: int) -> None:
        """Take the number of instances that share the slack."""
        self._instances = max(LEAST_INSTANCES, count)

    def on_bounds(self, bounds: RepeatBounds) -> None:
        """Take other bounds."""
        self._bounds = bounds

    def earn(self, service: str) -> None:
        """Count a request for a service."""
        saved = self._tokens.get(service, self.part * START_SHARE)
        earned = saved + self._bounds.share * USED_SHARE
        self._tokens[service] = min(earned, self.part)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat; False if there is none left."""
        saved = self._tokens.get(service, float(0))
        if saved < 1:
            return False
        self._tokens[service] = saved - 1
        return True

    def is_scarce(self, service: str) -> bool:
        """Tell whether less than half of what may be saved is left."""
        return self._tokens.get(service, float(0)) < self.part / 2
