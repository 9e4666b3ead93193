"""Log lines to a descriptor, bounded and without waiting for the reader."""

import logging
import os
import time
from collections import deque
from typing import Final

# A gateway writes one line a request; at its share of the load that is some
# tens a second. More than this, in lines a second, come of a fault that the
# first lines show.
LINES_PER_SECOND: Final = 250
# Lines that wait for a reader that has stopped; then new ones are dropped.
MAX_WAITING: Final = 1000


class NonBlockingHandler(logging.Handler):
    """Writes each record as a line, or counts it as dropped.

    The descriptor is set not to block. Lines that it does not take wait for
    the next record; a line tells how many were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._second = 0
        self._written = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; one that cannot be written is counted."""
        try:
            self._emit(record)
        except (OSError, ValueError, TypeError):
            self.dropped += 1  # a log that fails must not fail its caller

    def _emit(self, record: logging.LogRecord) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
            self._tell_dropped(record)
        is_over = self._written >= LINES_PER_SECOND
        if is_over or len(self._waiting) >= MAX_WAITING:
            self.dropped += 1
        else:
            self._written += 1
            self._waiting.append(f'{self.format(record)}\n'.encode())
        self._flush()

    def _tell_dropped(self, record: logging.LogRecord) -> None:
        if self.dropped and len(self._waiting) < MAX_WAITING:
            told = logging.makeLogRecord(
                {
                    'name': __name__,
                    'levelno': logging.WARNING,
                    'levelname': 'WARNING',
                    'msg': 'log lines dropped',
                    'created': record.created,
                    'fields': {'count': self.dropped},
                },
            )
            self.dropped = 0
            self._waiting.append(f'{self.format(told)}\n'.encode())

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting.popleft()
            try:
                taken = os.write(self._descriptor, line)
            except BlockingIOError:
                taken = 0
            if taken < len(line):
                self._waiting.appendleft(line[taken:])
                return
