"""Search for free ports on the loopback address."""

import os
import socket

from tests.support.fleet import RUN_NUMBER

PORT_COUNT = 60
FIRST_PORT, END_PORT = 23000, 32000
PORTS_OF_RUN = 900  # of a test run with a number


def find_free_base_port():
    """Return the first of PORT_COUNT consecutive free ports."""
    for base in candidates():
        if all(is_port_free(base + port) for port in range(PORT_COUNT)):
            return base
    raise AssertionError('no range of free ports on 127.0.0.1')


def candidates():
    if RUN_NUMBER:
        first = FIRST_PORT + RUN_NUMBER % 10 * PORTS_OF_RUN
        return range(first, first + PORTS_OF_RUN, PORT_COUNT)
    return range(FIRST_PORT + os.getpid() % 40 * 100, END_PORT, PORT_COUNT)


def is_port_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
