"""The connections of a listening socket that wait to be accepted."""

import socket
import struct
from typing import Final

# The start of `struct tcp_info` of linux/tcp.h, up to `tcpi_unacked`, which is
# the length of the queue of a listening socket: 24 bytes precede it.
_TCP_INFO: Final = struct.Struct('=24xI')


def count_waiting_connections(sock: socket.socket) -> int:
    """Return how many connections wait; 0 where the kernel doesn't tell."""
    try:
        tcp_info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        waiting: int = _TCP_INFO.unpack(tcp_info)[0]
    except (OSError, struct.error):
        return 0
    return waiting
