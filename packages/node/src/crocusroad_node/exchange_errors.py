"""The errors by which an HTTP exchange of the client library can end."""

from typing import Final

from aiosonic.exceptions import (
    ConnectionDisconnected,
    ConnectTimeout,
    HttpParsingError,
    MissingReaderException,
    MissingWriterException,
    ReadTimeout,
    RequestTimeout,
)

# The connection was refused or not made: nothing was sent.
CONNECT_ERRORS: Final = (ConnectionRefusedError, ConnectTimeout)

# The exchange broke off: what was sent may have had its effect.
EXCHANGE_ERRORS: Final = (
    OSError,
    EOFError,
    ValueError,
    ConnectionDisconnected,
    HttpParsingError,
    MissingReaderException,
    MissingWriterException,
    ReadTimeout,
    RequestTimeout,
)
