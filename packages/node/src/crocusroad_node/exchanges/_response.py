"""HTTP response with its body."""

from collections.abc import Mapping
from typing import NamedTuple


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]  # names in lower case
    fields: Mapping[bytes, bytes]  # the first value of each header
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is in lower case."""
        return self.fields.get(name)
