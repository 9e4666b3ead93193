"""Faults of calls to the KV."""

from enum import StrEnum


class StoreFault(StrEnum):
    """The reason why a call to the KV failed."""

    conflict = 'conflict'  # the key has another revision; nothing was written
    unavailable = 'unavailable'  # rejected before it could take effect
    refused = 'refused'  # nothing listens at the address; nothing was sent
    unknown = 'unknown'  # no reply; a write may have taken effect
    compacted = 'compacted'  # changes after this revision are discarded
    lease_gone = 'lease-gone'  # the lease has expired; nothing was written
    behind = 'behind'  # the relaying instance has lost the KV
