"""Report of a replica's health endpoint."""

from typing import NamedTuple


class HealthReport(NamedTuple):
    """Report of a replica's health endpoint, which may be late or wrong."""

    is_healthy: bool
    is_draining: bool
    load: float  # requests held, divided by slots
