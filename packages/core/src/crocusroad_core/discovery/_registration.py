"""What a replica says of itself."""

from typing import NamedTuple


class Registration(NamedTuple):
    """What a replica says of itself in the platform's store."""

    name: str  # unique over all replicas that run
    service: str
    address: str  # host:port
    zone: str
    slots: int  # requests it runs at once
    is_draining: bool  # it leaves and takes no new work after a while
    warmup_seconds: float  # remaining time that it stays slow after its start
    start_time_ms: int  # Unix time; tells incarnations apart
