"""News between instances of a request that was running in a crash."""

from typing import NamedTuple


class CrashReport(NamedTuple):
    """The upstreams that broke while they ran one fingerprint."""

    fingerprint: str
    canary: list[str]  # names; the request ran on this upstream only
    fan_out: list[str]  # names; it ran on many upstreams at once
