"""The idempotency keys of actions: UUIDs that carry their time."""

from enum import StrEnum
from typing import Final
from uuid import UUID

KEY_LIFETIME_SECONDS: Final = 86400.0  # seconds for which a key may be repeated
MAX_KEY_LEAD_SECONDS: Final = (
    300.0  # seconds that a key's time may lie in the future
)
MAX_CLOCK_SKEW_SECONDS: Final = (
    60.0  # seconds by which any two clocks may differ
)

_VERSION = 7
_TIME_SHIFT = 80  # bits below the time
_MS_PER_SECOND = 1000


class KeyState(StrEnum):
    """Whether a key is accepted."""

    valid = 'valid'
    invalid = 'invalid'
    expired = 'expired'


def canonical_key(raw: str) -> str | None:
    """Return the one spelling of a key; None: it is no UUID version 7."""
    try:
        key = UUID(raw)
    except ValueError:
        return None
    return str(key) if key.version == _VERSION else None


def key_state(key: str, wall: float) -> KeyState:
    """Return whether a key in its one spelling is accepted.

    Args:
        key: The key.
        wall: Seconds since the epoch.
    """
    made = (UUID(key).int >> _TIME_SHIFT) / _MS_PER_SECOND
    if made > wall + MAX_KEY_LEAD_SECONDS:
        return KeyState.invalid
    if made < wall - KEY_LIFETIME_SECONDS:
        return KeyState.expired
    return KeyState.valid
