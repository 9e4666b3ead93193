"""What can go wrong with a call to the KV."""

from enum import StrEnum


class StoreFault(StrEnum):
    """Why a call to the KV brought nothing."""

    conflict = 'conflict'  # another revision stands; nothing was written
    unavailable = 'unavailable'  # refused before it could take effect
    unknown = 'unknown'  # no reply; a write may have taken effect
    compacted = 'compacted'  # the revision to watch from is gone
    lease_gone = 'lease-gone'  # the lease has lapsed; nothing was written
    behind = 'behind'  # asked of an instance that has lost the service
