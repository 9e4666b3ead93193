"""Timers that fire late because the instance itself was delayed.

The event loop fires due timers before it reads what has arrived meanwhile.
"""

from typing import Final

# A timer that fires later than this was delayed by the instance itself.
LATE_TIMER_SECONDS: Final = 0.008
# The event loop reads what has arrived before it fires a timer that is this
# far in the future.
READ_GRACE_SECONDS: Final = 0.001
