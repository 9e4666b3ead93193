"""What a replica says of itself."""

from typing import NamedTuple


class HealthReport(NamedTuple):
    """The report of a health endpoint, which may lag or mislead."""

    is_healthy: bool
    is_draining: bool
    load: float  # requests held over slots
