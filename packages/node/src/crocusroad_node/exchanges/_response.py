"""A whole response."""

from typing import NamedTuple


class Response(NamedTuple):
    """A whole response of the other end."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]  # names in lower case
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case."""
        for own, text in self.headers:
            if own == name:
                return text
        return None
