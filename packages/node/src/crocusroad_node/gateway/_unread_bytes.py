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
    try:
        packed = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    unread: int = _INT.unpack(packed)[0]
    return unread
