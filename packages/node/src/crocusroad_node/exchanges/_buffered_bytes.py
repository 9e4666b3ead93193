"""The bytes of all responses that are being received.

Answers the load of many servers that send bytes without end at the same time:
each response by itself stays within its limit, all together do not.
"""

from typing import Final

MAX_BUFFERED_BYTES: Final = 16 * 1024 * 1024
# A response of this size is received whatever the others have.
ASSURED_BYTES: Final = 65_536


class BufferedBytes:
    """Counts the bytes that are received and not yet passed on."""

    def __init__(self) -> None:
        self.total = 0

    def allows(self, size: int) -> bool:
        """Tell whether a response may have `size` bytes at present."""
        return size <= ASSURED_BYTES or self.total <= MAX_BUFFERED_BYTES
