"""Keys of the fronts in the KV."""

FRONTS_PREFIX = 'fronts/'


def front_key(name: str) -> str:
    """Return the key that stores a front."""
    return FRONTS_PREFIX + name


def front_name(key: str) -> str:
    """Return the name of the front that a key stores."""
    return key.removeprefix(FRONTS_PREFIX)
