"""Exceptions that the HTTP client library raises during an exchange."""

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

# The connection was refused or not established: nothing was sent.
CONNECT_ERRORS: Final = (ConnectionRefusedError, ConnectTimeout)

# The exchange failed midway: the request may have taken effect.
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
