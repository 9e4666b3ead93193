"""The round trip of a TCP connection, as the kernel measured it."""

import socket
import struct
from typing import Final, Protocol

from crocusroad_core.gather import DEFAULT_ROUND_TRIP_SECONDS

US_PER_SECOND: Final = 1_000_000
# The start of `struct tcp_info` of linux/tcp.h, up to `tcpi_rtt`, which is in
# microseconds: 68 bytes precede it.
_TCP_INFO: Final = struct.Struct('=68xI')


class TcpSocket(Protocol):
    """The part of a socket that tells its round trip."""

    def getsockopt(self, level: int, optname: int, buflen: int) -> bytes:
        """Return the value of a socket option."""


def measure_round_trip(sock: TcpSocket) -> float:
    """Return the round trip of a connection in seconds.

    After the handshake the kernel knows it. Where it does not tell it, the
    round trip to the farthest callers is returned.
    """
    try:
        tcp_info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        round_trip: int = _TCP_INFO.unpack(tcp_info)[0]
    except (OSError, struct.error):
        return DEFAULT_ROUND_TRIP_SECONDS
    return round_trip / US_PER_SECOND or DEFAULT_ROUND_TRIP_SECONDS
