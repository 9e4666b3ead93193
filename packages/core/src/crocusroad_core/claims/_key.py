"""Idempotency keys of actions: UUIDs of version 7, which carry a time."""

from enum import StrEnum
from typing import Final
from uuid import UUID

KEY_LIFETIME_SECONDS: Final = 86400.0  # greatest accepted age of a key
MAX_KEY_LEAD_SECONDS: Final = 300.0  # of a key's time over the node's clock
MAX_CLOCK_SKEW_SECONDS: Final = 60.0  # between the clocks of any two machines

_UUID_VERSION = 7
_TIMESTAMP_SHIFT = 80  # bits below the timestamp
_MS_PER_SECOND = 1000


class KeyState(StrEnum):
    """Whether a key is accepted and, if not, why."""

    valid = 'valid'
    invalid = 'invalid'
    expired = 'expired'


def canonical_key(raw: str) -> str | None:
    """Return the canonical form of a key, or None if it is not a UUIDv7."""
    try:
        key = UUID(raw)
    except ValueError:
        return None
    return str(key) if key.version == _UUID_VERSION else None


def key_state(key: str, wall_time: float) -> KeyState:
    """Return whether a key is accepted at a time.

    Args:
        key: The key in its canonical form.
        wall_time: Seconds since the epoch.
    """
    created_at = (UUID(key).int >> _TIMESTAMP_SHIFT) / _MS_PER_SECOND
    if created_at > wall_time + MAX_KEY_LEAD_SECONDS:
        return KeyState.invalid
    if created_at < wall_time - KEY_LIFETIME_SECONDS:
        return KeyState.expired
    return KeyState.valid
