"""When refused callers return.

Answers a load that many callers repeat: told the same time, they would all
return at once and be refused again.
"""

from math import inf
from typing import Final

from crocusroad_core.queueing._waiting import QueueEstimate

# Returns are not spread further than this, as many callers never come back.
HORIZON_SECONDS: Final = 60.0


class ReturnSchedule:
    """The return times of refused callers, as far apart as the queue drains."""

    def __init__(self) -> None:
        self._last = -inf  # return time that was given last

    def reserve(
        self,
        queue: QueueEstimate,
        patience: float,
        now: float,
    ) -> float:
        """Return the seconds after which a refused caller may return.

        By then a request whose caller waits for `patience` seconds, like the
        refused one, is expected to be answered in time.
        """
        room_at = now + max(queue.interval, queue.seconds - patience)
        at = max(room_at, self._last + queue.interval)
        if at > room_at + HORIZON_SECONDS:
            at = room_at
        self._last = at
        return at - now
