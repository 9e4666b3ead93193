"""A logging handler that writes to a file descriptor without blocking."""

import logging
import os
import time
from collections import deque
from typing import Final

# A gateway logs one line for each request, some tens a second at its share of
# the load. A higher rate is caused by a fault that the first lines show.
MAX_LINES_PER_SECOND: Final = 250
# Lines queued while the reader does not read; further ones are dropped.
MAX_QUEUED_LINES: Final = 1000


class NonBlockingHandler(logging.Handler):
    """Writes each record as a line, or drops and counts it.

    Sets the descriptor to non-blocking mode. Lines that cannot be written are
    queued until the next record. The number of dropped lines is logged.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._second = 0
        self._written = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; drop and count it if that fails."""
        try:
            self._emit(record)
        except (OSError, ValueError, TypeError):
            self.dropped += 1  # a logging failure must not reach the caller

    def _emit(self, record: logging.LogRecord) -> None:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
            self._report_dropped(record)
        is_over_rate = self._written >= MAX_LINES_PER_SECOND
        if is_over_rate or len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
        else:
            self._written += 1
            self._queue.append(f'{self.format(record)}\n'.encode())
        self._flush()

    def _report_dropped(self, record: logging.LogRecord) -> None:
        if self.dropped and len(self._queue) < MAX_QUEUED_LINES:
            report = logging.makeLogRecord(
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
            self._queue.append(f'{self.format(report)}\n'.encode())

    def _flush(self) -> None:
        while self._queue:
            line = self._queue.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            if written < len(line):
                self._queue.appendleft(line[written:])
                return
