"""The keys of the KV that hold configuration."""

FRONTS_PREFIX = 'fronts/'


def front_key(name: str) -> str:
    """Return the key of a front."""
    return FRONTS_PREFIX + name


def front_name(key: str) -> str:
    """Return the front that a key holds."""
    return key.removeprefix(FRONTS_PREFIX)
