"""The registration of a replica in the platform's store."""

from typing import NamedTuple


class Registration(NamedTuple):
    """The properties that a replica registers in the platform's store."""

    name: str  # unique over all running replicas
    service: str
    address: str  # host:port
    zone: str
    slots: int  # requests that it runs concurrently
    is_draining: bool  # it is shutting down and soon accepts no new work
    warmup_seconds: float  # during which it is still slow after its start
    start_time_ms: int  # Unix time; tells incarnations apart
