"""Bytes that a process has not read from a connection yet, as Linux counts."""

import socket
import struct
from contextlib import suppress

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
HEADER = struct.Struct('=IHHII')  # of netlink
REQUEST = struct.Struct('=BBBxI')
ENDPOINTS = struct.Struct('!HH4s12x4s12x')
INTERFACE = struct.Struct('=III')  # any, with any cookie
ANY_COOKIE = 0xFFFFFFFF
LISTEN = 10
# The state, the expiry and the bytes in the receive queue.
ANSWER = struct.Struct('=xB2x48xII')
BUFFER_BYTES = 8192


class UnreadBytes:
    """Looks up the receive queues of connections on this machine."""

    def __init__(self):
        self._sock = socket.socket(
            socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
        )

    def count(self, endpoint, peer):
        """Return the bytes unread at `endpoint`, which is connected to `peer`.

        None if there is no such connection.
        """
        body = (
            REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, ALL_STATES)
            + ENDPOINTS.pack(
                endpoint[1],
                peer[1],
                socket.inet_aton(endpoint[0]),
                socket.inet_aton(peer[0]),
            )
            + INTERFACE.pack(0, ANY_COOKIE, ANY_COOKIE)
        )
        size = HEADER.size + len(body)
        header = HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
        self._sock.send(header + body)
        answer = self._sock.recv(BUFFER_BYTES)
        if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
            return None
        state, _, size = ANSWER.unpack_from(answer, HEADER.size)
        return None if state == LISTEN else size

    def close(self):
        with suppress(OSError):
            self._sock.close()
