"""The requests that wait for a server, in the order in which they are sent.

Answers a load above the capacity of a server for longer than callers wait: in
arrival order, each request would then be sent when its caller has almost given
up, and nearly all answers would be late.
"""

from math import inf
from typing import Final, Generic, NamedTuple, TypeVar

from crocusroad_core.queueing._waiting import (
    QueueEstimate,
    ServerLoad,
    WaitingRequest,
)

# Every so many requests, the oldest one of the priority that has not been sent
# for longest is sent, so that none starves.
OLDEST_TURN: Final = 4
# A request is sent in time for its latency objective if the server may take
# this many times as long as usual.
OBJECTIVE_MARGIN: Final = 1.5
# A burst is over if no request has arrived in the time in which the server
# takes this many.
BURST_GAP_REQUESTS: Final = 4

Entry = TypeVar('Entry')


class _Queued(NamedTuple, Generic[Entry]):
    entry: Entry
    request: WaitingRequest


class WaitQueue(Generic[Entry]):
    """Requests that wait for a server.

    The most urgent one that can still meet its latency objective is sent
    first; those that are late come after all others.
    """

    def __init__(self) -> None:
        self._queued: list[_Queued[Entry]] = []
        self._turn = 0
        self._last_turns: dict[int, int] = {}  # when one was sent, by priority
        # Since when there were always late requests in the queue.
        self._late_since = inf
        self._last_arrival = -inf

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._queued)

    def add(self, entry: Entry, request: WaitingRequest) -> None:
        """Add a request."""
        self._queued.append(_Queued(entry, request))
        self._last_arrival = max(self._last_arrival, request.arrived_at)

    def remove(self, entry: Entry) -> None:
        """Remove a request whose caller has left, if it still waits."""
        self._queued = [
            queued for queued in self._queued if queued.entry is not entry
        ]

    def pop_next(self, load: ServerLoad, now: float) -> Entry | None:
        """Remove and return the request to send next; None if none waits."""
        if not self._queued:
            return None
        self._turn += 1
        if self._turn % OLDEST_TURN:
            best = self._in_order(_ready_at(load, now))[0]
        else:
            best = min(self._queued, key=self._longest_unserved)
        self._last_turns[best.request.priority] = self._turn
        self._queued.remove(best)
        return best.entry

    def pop_all(self) -> list[Entry]:
        """Remove and return all requests."""
        entries = [queued.entry for queued in self._queued]
        self._queued = []
        return entries

    def pop_hopeless(
        self,
        load: ServerLoad,
        now: float,
        free_connections: int = 0,
        latest: float = inf,
    ) -> list[Entry]:
        """Remove and return the requests that can't be answered in time.

        No request can be answered after `latest`, whatever its deadline, and
        none is kept that would probably be answered after it if sent now.

        The most urgent ones are returned first. If requests still arrive and
        all that wait have arrived since the queue has been too long, more are
        expected to come, and late ones are kept only if they will be the
        oldest in time.
        """
        if not load.interval:
            return []
        ready_at = _ready_at(load, now)
        is_standing = self._update_standing(ready_at, now)
        is_standing &= self._is_arriving(load, now)
        positions = self._positions()
        hopeless: list[Entry] = []
        kept: list[_Queued[Entry]] = []
        for queued in self._in_order(ready_at):
            request = queued.request
            place = len(kept) + 1 - free_connections
            position = positions[id(queued.entry)] - free_connections
            if not is_standing:
                position = min(position, place)
            least_seconds = load.least_wait(position) + load.least_seconds
            is_kept = now + least_seconds <= min(request.deadline, latest)
            if ready_at > latest:
                is_kept = False
            elif is_standing and not is_kept:
                wait = place * load.interval * OLDEST_TURN / (OLDEST_TURN - 1)
                is_kept = ready_at + wait <= request.answer_by
            if is_kept:
                kept.append(queued)
            else:
                hopeless.append(queued.entry)
        self._queued = kept
        return hopeless

    def estimate(self, load: ServerLoad) -> QueueEstimate:
        """Return the estimated wait of a request that joins the queue."""
        ahead = len(self._queued) + 1
        return QueueEstimate(
            ahead * load.interval + load.seconds,
            load.interval,
        )

    def _update_standing(self, ready_at: float, now: float) -> bool:
        """Return whether all have arrived since the queue has been too long."""
        requests = [queued.request for queued in self._queued]
        if not any(ready_at > request.answer_by for request in requests):
            self._late_since = inf
            return False
        self._late_since = min(self._late_since, now)
        return self._late_since <= min(
            request.arrived_at for request in requests
        )

    def _is_arriving(self, load: ServerLoad, now: float) -> bool:
        """Return whether a request has arrived a short time ago."""
        gap = now - self._last_arrival
        return gap <= BURST_GAP_REQUESTS * load.interval

    def _positions(self) -> dict[int, float]:
        """Return after how many others each is sent as the oldest one.

        The most urgent ones are sent as the oldest only if no others wait.
        """
        priorities = {queued.request.priority for queued in self._queued}
        spacing = dict.fromkeys(
            priorities, OLDEST_TURN * max(1, len(priorities) - 1)
        )
        counts = dict.fromkeys(priorities, 0)
        positions: dict[int, float] = {}
        for queued in sorted(self._queued, key=_arrival):
            priority = queued.request.priority
            counts[priority] += 1
            positions[id(queued.entry)] = counts[priority] * spacing[priority]
            if len(priorities) > 1 and priority == min(priorities):
                positions[id(queued.entry)] = inf
        return positions

    def _in_order(self, ready_at: float) -> list[_Queued[Entry]]:
        """Return the requests from the first to send to the last.

        Those that could not be answered at `ready_at` are late.
        """

        def rank(queued: _Queued[Entry]) -> tuple[bool, int, float]:
            request = queued.request
            is_late = ready_at > request.answer_by
            return is_late, request.priority, request.answer_by

        return sorted(self._queued, key=rank)

    def _longest_unserved(self, queued: _Queued[Entry]) -> tuple[int, float]:
        last_turn = self._last_turns.get(queued.request.priority, 0)
        return last_turn, _arrival(queued)


def _ready_at(load: ServerLoad, now: float) -> float:
    """Return when a request that is sent now has been answered."""
    return now + load.seconds * OBJECTIVE_MARGIN


def _arrival(queued: _Queued[Entry]) -> float:
    return queued.request.arrived_at
