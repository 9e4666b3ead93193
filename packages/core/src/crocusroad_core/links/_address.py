"""Network addresses as text."""

from typing import Final

MAX_PORT: Final = 65_535


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of `host:port`.

    Raises:
        ValueError: The text does not have this form, or nothing can listen at
            the port.
    """
    host, colon, port = text.rpartition(':')
    if not colon or not host or not port.isdecimal():
        raise ValueError(f'not an address of the form host:port: {text!r}')
    if len(port) > len(str(MAX_PORT)) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'the port is not in 1 to {MAX_PORT}: {text!r}')
    return host, int(port)
