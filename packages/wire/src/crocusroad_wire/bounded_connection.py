"""Connections of the HTTP library that bound a response and require its end.

The library reads as much as a server sends, and takes the end of a connection
for the end of a head.
"""

from typing import Final

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionDisconnected, HttpParsingError
from aiosonic.pools import BasePool

# A response carries at most a value of the store, of one megabyte, in base64,
# or the records of a shard.
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
# The lines of a head, and those that precede the chunks of a body.
MAX_LINE_BYTES: Final = 65_536
LINE_END: Final = b'\n'


class BoundedConnection(Connection):
    """Connection whose exchanges end with a whole response or an exception."""

    def __init__(self, pool: BasePool) -> None:
        super().__init__(pool)
        # Of the current response.
        self._line_bytes = 0
        self._body_bytes = 0

    def write(self, data: bytes) -> None:
        """Send a part of a request; its response is counted from zero."""
        self._line_bytes = 0
        self._body_bytes = 0
        super().write(data)

    async def readline(self) -> bytes:
        """Read a line of a head, or the size of a chunk.

        Raises:
            ConnectionDisconnected: The connection ended within the line.
            HttpParsingError: The response has too many bytes.
        """
        line: bytes = await super().readline()  # type: ignore[no-untyped-call]
        if not line.endswith(LINE_END):
            self.keep = False
            raise ConnectionDisconnected
        self._line_bytes += len(line)
        self._check_size()
        return line

    async def readexactly(self, size: int) -> bytes:
        """Read a body or a chunk of the given size.

        Raises:
            HttpParsingError: The response has too many bytes.
        """
        self._body_bytes += size
        self._check_size()
        body: bytes = await super().readexactly(size)
        return body

    async def read(self, size: int = -1) -> bytes:
        """Read up to `size` bytes of a body.

        Raises:
            HttpParsingError: The response has too many bytes.
        """
        body: bytes = await super().read(size)
        self._body_bytes += len(body)
        self._check_size()
        return body

    def _check_size(self) -> None:
        if self._line_bytes > MAX_LINE_BYTES:
            self.keep = False
            raise HttpParsingError(
                f'the head or the chunk headers exceed {MAX_LINE_BYTES} bytes',
            )
        if self._body_bytes > MAX_BODY_BYTES:
            self.keep = False
            raise HttpParsingError(
                f'the body of the response exceeds {MAX_BODY_BYTES} bytes',
            )
