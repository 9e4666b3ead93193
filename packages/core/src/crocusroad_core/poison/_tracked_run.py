"""One sub-request in progress on an upstream."""

from typing import NamedTuple


class TrackedRun(NamedTuple):
    """A run that was let in; give it back to the book when it ends."""

    fingerprint: str
    upstream: str
    is_suspect: bool  # as it began
