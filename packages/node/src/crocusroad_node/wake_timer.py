"""The timer of one state machine that names its next moment."""

import asyncio
from collections.abc import Callable


class WakeTimer:
    """Calls `act` at the earliest moment that was set and not yet reached.

    A moment later than the one set fires early at worst, and is set again by
    whoever is woken; that costs less than a new timer for each change.
    """

    def __init__(self, act: Callable[[], None]) -> None:
        self.due: float = 0  # seconds, clock of the loop
        self._act = act
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def set(self, moment: float) -> None:
        """Wake at a moment; has no effect if an earlier one is set."""
        if self._timer is not None:
            if self.due <= moment:
                return
            self._timer.cancel()
        self.due = moment
        self._timer = self._loop.call_at(moment, self._fire)

    def stop(self) -> None:
        """Wake no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        self._timer = None
        self._act()
