"""A sub-request in progress on an upstream."""

from typing import NamedTuple


class TrackedRun(NamedTuple):
    """A run that `PoisonTracker.begin_run` started, to be ended once."""

    fingerprint: str
    upstream: str
    is_suspect: bool  # when the run began
