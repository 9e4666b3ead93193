"""A timer for a state machine that knows its next deadline."""

import asyncio
from collections.abc import Callable


class WakeTimer:
    """Calls `callback` at the earliest time that was set and has not passed.

    Setting a later time keeps the earlier one. The callback may therefore run
    too early and has to set the time again, which is cheaper than a new timer
    for each change.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self.due: float = 0  # seconds, event loop's clock
        self._callback = callback
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def set(self, when: float) -> None:
        """Schedule the callback; a no-op if an earlier time is set."""
        if self._timer is not None:
            if self.due <= when:
                return
            self._timer.cancel()
        self.due = when
        self._timer = self._loop.call_at(when, self._fire)

    def stop(self) -> None:
        """Cancel the scheduled call."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        self._timer = None
        self._callback()
