"""Free ports on the loopback address."""

import os
import socket

PORTS = 60


def free_base():
    """Return the first of some ports in a row that are free."""
    for base in range(23000 + os.getpid() % 40 * 100, 32000, PORTS):
        if all(is_free(base + port) for port in range(PORTS)):
            return base
    raise AssertionError('no free ports')


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
