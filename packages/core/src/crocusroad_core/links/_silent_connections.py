"""Detection of silent connections, as distinct from slow replicas."""

from typing import Final

WINDOW_SECONDS: Final = 10.0
MIN_SILENT: Final = 2  # connections


class SilentConnectionDetector:
    """Detects that connections opened before some time have gone silent.

    A connection is silent if it brings no answer while the replica answers on
    another connection. If `MIN_SILENT` of them are found within the window,
    and no older connection brings an answer in between, all connections opened
    before the last of them was found are presumed dead.
    """

    def __init__(self) -> None:
        self._silent_at: list[float] = []
        self._dead_before = float('-inf')

    def on_silent(self, now: float) -> bool:
        """Record a silent connection.

        `now` is the time at which it was found silent, before the replica was
        tried on another connection.

        Returns:
            Whether all connections opened before `now` are presumed dead.
        """
        self._silent_at = [
            found_at
            for found_at in self._silent_at
            if now - found_at < WINDOW_SECONDS
        ]
        self._silent_at.append(now)
        if len(self._silent_at) < MIN_SILENT:
            return False
        self._silent_at.clear()
        self._dead_before = now
        return True

    def on_answer(self, opened_at: float) -> None:
        """Record an answer on a connection that was opened at `opened_at`.

        If the connection is older than the first silent one was found, the
        silent ones are no evidence against the others.
        """
        if self._silent_at and opened_at < self._silent_at[0]:
            self._silent_at.clear()

    def is_presumed_dead(self, opened_at: float) -> bool:
        """Return whether a connection opened at `opened_at` must be closed."""
        return opened_at < self._dead_before

    def is_suspect(self, opened_at: float, now: float) -> bool:
        """Return whether a connection must be probed before its next use."""
        if not self._silent_at:
            return False
        last = self._silent_at[-1]
        return opened_at < last and now - last < WINDOW_SECONDS
