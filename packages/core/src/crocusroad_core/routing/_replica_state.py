"""What an instance knows of one replica."""

from math import inf
from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.routing._failure_rate import LossView
from crocusroad_core.routing._load_estimate import LoadView
from crocusroad_core.routing._replica_group import Group
from crocusroad_core.routing._zone_latency import Zone

LATENCY_WEIGHT: Final = 0.2  # of a new sample in the mean
LATENCY_SECONDS: Final = 60.0  # age at which a latency says nothing more
FASTEST_DRIFT: Final = 1.01  # the fastest latency fades upwards by this
RAMP_SECONDS: Final = 10.0
LEAST_RAMP: Final = 0.1  # share of its slots that a cold replica is given
DRAIN_SECONDS: Final = 300.0  # a sign of leaving holds this long
DRAIN_DOUBT_SECONDS: Final = 15.0  # and at least this long against health
BACKOFF_SECONDS: Final = 0.1
MOST_BACKOFF_SECONDS: Final = 5.0
DOUBLINGS: Final = 6
DOWN_FAILURES: Final = 2  # in a row, after which an answer is a recovery
PROBE_SECONDS: Final = 1.0  # between attempts against what health says
DEAD_SECONDS: Final = 3600.0  # added to the score of one that looks dead

# An address that another has taken over is not given back soon; requests
# sent there are extra load on that one. Longer than a registration outlives
# its replica.
ABSENT_SECONDS: Final = 10.0
# An answer that takes this many expected times is not merely slow.
OVERDUE_FACTOR: Final = 2.0

_NONE: Final = float(0)


class ReplicaState:
    """One replica: own work on it, what it reports and what it showed."""

    __slots__ = (
        '_absent_until',
        '_answered_at',
        '_backoff_until',
        '_drain_at',
        '_failures',
        '_fastest',
        '_full_until',
        '_is_unhealthy',
        '_latency',
        '_owed_since',
        '_sent_at',
        '_unhealthy_at',
        '_warm_from',
        'group',
        'is_listed_leaving',
        'load',
        'losses',
        'replica',
        'zone',
    )  # fmt: skip

    def __init__(
        self,
        replica: Replica,
        zone: Zone,
        group: Group,
        now: float,
    ) -> None:
        self.replica = replica
        self.zone = zone
        self.group = group
        self.load = LoadView(now)
        self.losses = LossView()
        self.is_listed_leaving = False
        self._latency = _NONE  # seconds, moving mean; 0: never seen
        self._fastest = _NONE  # seconds
        self._answered_at = now - LATENCY_SECONDS
        self._sent_at = now
        self._owed_since = inf  # oldest attempt without any answer since
        self._absent_until = now
        self._failures = 0  # in a row
        self._backoff_until = now
        self._full_until = now
        self._drain_at = now - DRAIN_SECONDS
        self._is_unhealthy = False
        self._unhealthy_at = now  # since when health speaks against it
        self._warm_from = now

    def is_leaving(self, now: float) -> bool:
        """Tell whether any sign says that the replica is leaving."""
        return self.is_listed_leaving or now - self._drain_at < DRAIN_SECONDS

    def is_absent(self, now: float) -> bool:
        """Tell whether another one was lately found in its place."""
        return now < self._absent_until

    def take_absence(self, now: float) -> None:
        """Take that another one answers at its address."""
        self._absent_until = now + ABSENT_SECONDS

    def is_ready(self, now: float) -> bool:
        """Tell whether work may go here; after failures, one probe."""
        if now < self._full_until:
            return False
        if not self._failures:
            return True
        return now >= self._backoff_until and not self.load.in_flight

    def looks_dead(self, now: float) -> bool:
        """Tell whether failures or its health speak against the replica."""
        if self._failures and now < self._backoff_until:
            return True
        if not self._is_unhealthy or self._answered_at > self._unhealthy_at:
            return False
        last = max(self._sent_at, self._unhealthy_at)
        return now - last < PROBE_SECONDS

    def score(self, peers: int, now: float) -> float:
        """Return the expected wait for an answer; the lowest is the best."""
        age = now - self._answered_at
        expected = self.zone.expected
        if self._latency and age < LATENCY_SECONDS:
            fresh = 1 - age / LATENCY_SECONDS
            expected += (self._latency - expected) * fresh
        slots = self.replica.slots * self._ramp(now)
        held = self.load.held(self._answered_at, peers, now) + 1
        score = expected * (1 + held / slots) + self._overdue(expected, now)
        score += self.losses.cost(now)
        if self._is_unhealthy or self._failures:
            score += DEAD_SECONDS * self.looks_dead(now)
        return score

    def _overdue(self, expected: float, now: float) -> float:
        """Return the further wait for a replica that owes an answer.

        One that has answered nothing for some expected times is paused or
        gone; the longer it has lasted, the longer it is expected to last.
        """
        owed = now - self._owed_since
        return owed if owed > OVERDUE_FACTOR * expected else _NONE

    def take_life(self, now: float) -> None:
        """Take any answer, also a late one: the replica works."""
        self._owed_since = now if self.load.in_flight else inf

    def take_sent(self, now: float) -> None:
        """Count an attempt that starts."""
        self._sent_at = now
        self._owed_since = min(self._owed_since, now)
        self.load.take_sent()

    def take_answer(self, latency: float, now: float) -> None:
        """Take a whole answer: the replica works."""
        if self._failures >= DOWN_FAILURES:
            self._warm_from = now
        self._failures = 0
        self.losses.take(now, is_lost=False)
        self.take_life(now)
        self.take_latency(latency, now)

    def take_slower(self, latency: float, now: float) -> None:
        """Take the time that an attempt ran without an answer."""
        if latency > self._latency:
            self.take_latency(latency, now)

    def take_latency(self, latency: float, now: float) -> None:
        """Take a latency, and weigh the last load report by it."""
        if self._latency:
            self._latency += LATENCY_WEIGHT * (latency - self._latency)
            self._fastest = min(latency, self._fastest * FASTEST_DRIFT)
        else:
            self._latency = latency
            self._fastest = latency
        self._answered_at = now
        self.load.take_latency(latency, self._fastest, now)

    def take_failure(self, now: float) -> None:
        """Back off, twice as long after each failure in a row."""
        self.losses.take(now, is_lost=True)
        factor = 2 ** min(self._failures, DOUBLINGS)
        self._failures += 1
        pause = min(MOST_BACKOFF_SECONDS, BACKOFF_SECONDS * factor)
        self._backoff_until = now + pause

    def take_full(self, pause: float, now: float) -> None:
        """Take a refusal for want of room: no work for `pause` seconds."""
        self._full_until = now + pause

    def take_drain(self, now: float) -> None:
        """Take a sign that the replica is leaving."""
        self._drain_at = now

    def take_health(self, *, is_healthy: bool, now: float) -> None:
        """Take what the health endpoint says, draining apart."""
        if not is_healthy and not self._is_unhealthy:
            self._unhealthy_at = now
        self._is_unhealthy = not is_healthy
        sign_age = now - self._drain_at
        if DRAIN_DOUBT_SECONDS <= sign_age < DRAIN_SECONDS:
            self._drain_at = now - DRAIN_SECONDS
            self._warm_from = now

    def _ramp(self, now: float) -> float:
        share = (now - self._warm_from) / RAMP_SECONDS
        return 1 if share >= 1 else max(LEAST_RAMP, share)
