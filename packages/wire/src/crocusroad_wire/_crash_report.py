"""Report between instances of a request that ran when upstreams crashed."""

from typing import NamedTuple


class CrashReport(NamedTuple):
    """The upstreams that crashed while they ran one request fingerprint."""

    fingerprint: str
    canary: list[str]  # upstream names; the request ran on no other upstream
    fan_out: list[str]  # upstream names; the request ran on many at once
