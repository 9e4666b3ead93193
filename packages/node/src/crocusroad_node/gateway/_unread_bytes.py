"""The bytes of a TCP connection that the kernel holds for the process."""

import fcntl
import struct
import termios
from typing import Final, Protocol

_INT: Final = struct.Struct('i')


class Descriptor(Protocol):
    """A socket, by its file descriptor."""

    def fileno(self) -> int:
        """Return the file descriptor."""


def count_unread_bytes(sock: Descriptor) -> int:
    """Return how many bytes have arrived and were not read.

    A close destroys them, and the reset that follows may destroy replies that
    are under way.
    """
    return _count_queued_bytes(sock, termios.FIONREAD)


def count_undelivered_bytes(sock: Descriptor) -> int:
    """Return how many bytes were written and are not acknowledged.

    The end of the sending side counts as one.
    """
    return _count_queued_bytes(sock, termios.TIOCOUTQ)


def _count_queued_bytes(sock: Descriptor, request: int) -> int:
    try:
        packed = fcntl.ioctl(sock.fileno(), request, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    queued: int = _INT.unpack(packed)[0]
    return queued
