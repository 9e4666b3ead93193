"""Silent connections, told apart from a slow replica."""

from typing import Final

WINDOW_SECONDS: Final = 10.0
ENOUGH: Final = 2  # silent connections


class SilentConnectionDetector:
    """Evidence that connections opened before some time went silent.

    A connection counts as silent if its answer stays out while the replica
    answers on another connection. `ENOUGH` of them within the window, with
    no answer on an older connection since, condemn all connections opened
    before the last of them was found.
    """

    def __init__(self) -> None:
        self._silent: list[float] = []
        self._condemned_before = float('-inf')

    def on_silent(self, now: float) -> bool:
        """Take a connection found silent; True if older ones are condemned.

        `now` is when it was found, before the replica was tried on another.
        """
        self._silent = [
            when for when in self._silent if now - when < WINDOW_SECONDS
        ]
        self._silent.append(now)
        if len(self._silent) < ENOUGH:
            return False
        self._silent.clear()
        self._condemned_before = now
        return True

    def on_answer(self, opened_at: float) -> None:
        """Take an answer on a connection opened at `opened_at`."""
        if self._silent and opened_at < self._silent[0]:
            self._silent.clear()

    def is_presumed_dead(self, opened_at: float) -> bool:
        """Tell whether a connection opened at `opened_at` is to be closed."""
        return opened_at < self._condemned_before

    def is_suspect(self, opened_at: float, now: float) -> bool:
        """Tell whether a connection has to be probed before its next use."""
        if not self._silent:
            return False
        last = self._silent[-1]
        return opened_at < last and now - last < WINDOW_SECONDS
