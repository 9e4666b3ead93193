"""Search for free ports on the loopback address."""

import os
import socket

PORT_COUNT = 60


def find_free_base_port():
    """Return the first of PORT_COUNT consecutive free ports."""
    for base in range(23000 + os.getpid() % 40 * 100, 32000, PORT_COUNT):
        if all(is_port_free(base + port) for port in range(PORT_COUNT)):
            return base
    raise AssertionError('no range of free ports on 127.0.0.1')


def is_port_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
