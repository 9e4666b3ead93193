"""State that an instance keeps for one replica."""

from math import inf
from typing import Final

from crocusroad_core.fronts import Replica
from crocusroad_core.routing._failure_rate import FailureRate
from crocusroad_core.routing._load_estimate import LoadEstimate
from crocusroad_core.routing._replica_group import ReplicaGroup
from crocusroad_core.routing._zone_latency import ZoneLatency

LATENCY_WEIGHT: Final = 0.2  # of a new sample in the mean
LATENCY_TTL_SECONDS: Final = 60.0  # age at which a latency has no weight
FASTEST_DRIFT: Final = 1.01  # growth of the fastest latency per sample
SLOW_START_SECONDS: Final = 10.0
SLOW_START_MIN_SHARE: Final = 0.1  # of the slots, at the start of slow start
DRAIN_TTL_SECONDS: Final = 300.0  # after which a drain signal expires
# A drain signal counts at least this long, also if a later health report says
# that the replica does not drain.
DRAIN_MIN_SECONDS: Final = 15.0
BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 5.0
MAX_DOUBLINGS: Final = 6
DOWN_FAILURES: Final = 2  # in a row, after which an answer starts slow start
PROBE_SECONDS: Final = 1.0  # between attempts at a replica reported unhealthy
DEAD_PENALTY_SECONDS: Final = 3600.0  # in the score of one that looks dead

# An address that another replica has taken over does not come back soon, and
# requests sent there are extra load on that replica. This is longer than a
# registration outlives its replica.
ABSENT_SECONDS: Final = 10.0
# A replica that takes this many expected latencies is not merely slow.
OVERDUE_FACTOR: Final = 2.0

_NONE: Final = float(0)


class ReplicaState:
    """Load, latency, failures and drain signals of one replica."""

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
        '_sent_at',
        '_slow_start_at',
        '_unanswered_since',
        '_unhealthy_since',
        'failure_rate',
        'group',
        'is_listed_leaving',
        'load',
        'replica',
        'zone',
    )  # fmt: skip

    def __init__(
        self,
        replica: Replica,
        zone: ZoneLatency,
        group: ReplicaGroup,
        now: float,
    ) -> None:
        self.replica = replica
        self.zone = zone
        self.group = group
        self.load = LoadEstimate(now)
        self.failure_rate = FailureRate()
        self.is_listed_leaving = False
        self._latency = _NONE  # seconds, moving mean; 0: not measured
        self._fastest = _NONE  # seconds
        self._answered_at = now - LATENCY_TTL_SECONDS
        self._sent_at = now
        # Start of the oldest attempt after which there was no response.
        self._unanswered_since = inf
        self._absent_until = now
        self._failures = 0  # in a row
        self._backoff_until = now
        self._full_until = now
        self._drain_at = now - DRAIN_TTL_SECONDS
        self._is_unhealthy = False
        self._unhealthy_since = now
        self._slow_start_at = now

    def is_leaving(self, now: float) -> bool:
        """Return whether the replica is listed as leaving or drains."""
        return (
            self.is_listed_leaving or now - self._drain_at < DRAIN_TTL_SECONDS
        )

    def is_absent(self, now: float) -> bool:
        """Return whether another replica recently answered at its address."""
        return now < self._absent_until

    def record_absent(self, now: float) -> None:
        """Record that another replica answers at its address."""
        self._absent_until = now + ABSENT_SECONDS

    def is_ready(self, now: float) -> bool:
        """Return whether the replica may be sent an attempt.

        After failures, one attempt at a time is allowed as a probe.
        """
        if now < self._full_until:
            return False
        if not self._failures:
            return True
        return now >= self._backoff_until and not self.load.in_flight

    def looks_dead(self, now: float) -> bool:
        """Return whether the replica is in backoff or reported unhealthy.

        The report is ignored if the replica has answered since it turned
        unhealthy, or was sent no attempt for `PROBE_SECONDS`, so that it is
        probed.
        """
        if self._failures and now < self._backoff_until:
            return True
        if not self._is_unhealthy or self._answered_at > self._unhealthy_since:
            return False
        last = max(self._sent_at, self._unhealthy_since)
        return now - last < PROBE_SECONDS

    def score(self, peers: int, now: float) -> float:
        """Return the expected seconds until an answer; the lowest is best.

        Failures add to it, so that other replicas are preferred.
        """
        expected = self._expected_latency(now)
        slots = self.replica.slots * self._slow_start_share(now)
        held = self.load.held(self._answered_at, peers, now) + 1
        score = expected * (1 + held / slots) + self._overdue(expected, now)
        score += self.failure_rate.cost(now)
        if self._is_unhealthy or self._failures:
            score += DEAD_PENALTY_SECONDS * self.looks_dead(now)
        return score

    def expected_seconds(self, peers: int, now: float) -> float:
        """Return the expected seconds until an answer to the next attempt."""
        expected = self._expected_latency(now)
        held = self.load.held(self._answered_at, peers, now) + 1
        rounds = max(1, held / self.replica.slots)
        return expected * rounds + self._overdue(expected, now)

    def _expected_latency(self, now: float) -> float:
        age = now - self._answered_at
        expected = self.zone.expected
        if self._latency and age < LATENCY_TTL_SECONDS:
            freshness = 1 - age / LATENCY_TTL_SECONDS
            expected += (self._latency - expected) * freshness
        return expected

    def _overdue(self, expected: float, now: float) -> float:
        """Return the additional wait for a replica with an overdue answer.

        A replica without any answer for several expected latencies is paused
        or gone. The longer a pause has lasted, the longer it is expected to
        last.
        """
        unanswered = now - self._unanswered_since
        return unanswered if unanswered > OVERDUE_FACTOR * expected else _NONE

    def reset_overdue(self, now: float) -> None:
        """Restart the overdue time.

        Any response, even to an abandoned attempt, shows that the replica
        works.
        """
        self._unanswered_since = now if self.load.in_flight else inf

    def record_sent(self, now: float) -> None:
        """Count an attempt that starts."""
        self._sent_at = now
        self._unanswered_since = min(self._unanswered_since, now)
        self.load.record_sent()

    def record_answer(self, latency: float, now: float) -> None:
        """Record a complete answer, which ends a series of failures."""
        if self._failures >= DOWN_FAILURES:
            self._slow_start_at = now
        self._failures = 0
        self.failure_rate.update(now, is_failure=False)
        self.reset_overdue(now)
        self.record_latency(latency, now)

    def record_min_latency(self, latency: float, now: float) -> None:
        """Record the time that an attempt ran without an answer.

        It is a lower bound of the latency, so it counts only if it is above
        the mean.
        """
        if latency > self._latency:
            self.record_latency(latency, now)

    def record_latency(self, latency: float, now: float) -> None:
        """Record a latency and adjust the trust in load reports by it."""
        if self._latency:
            self._latency += LATENCY_WEIGHT * (latency - self._latency)
            self._fastest = min(latency, self._fastest * FASTEST_DRIFT)
        else:
            self._latency = latency
            self._fastest = latency
        self._answered_at = now
        self.load.record_latency(latency, self._fastest, now)

    def record_failure(self, now: float) -> None:
        """Start a backoff, twice as long after each failure in a row."""
        self.failure_rate.update(now, is_failure=True)
        factor = 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        backoff = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * factor)
        self._backoff_until = now + backoff

    def record_full(self, pause: float, now: float) -> None:
        """Send the replica no work for `pause` seconds, since it is full."""
        self._full_until = now + pause

    def record_drain(self, now: float) -> None:
        """Record a signal that the replica drains."""
        self._drain_at = now

    def record_health(self, *, is_healthy: bool, now: float) -> None:
        """Record whether the health endpoint reports the replica healthy.

        A drain signal that is at least `DRAIN_MIN_SECONDS` old is dropped, so
        one in the same report must be recorded first.
        """
        if not is_healthy and not self._is_unhealthy:
            self._unhealthy_since = now
        self._is_unhealthy = not is_healthy
        signal_age = now - self._drain_at
        if DRAIN_MIN_SECONDS <= signal_age < DRAIN_TTL_SECONDS:
            self._drain_at = now - DRAIN_TTL_SECONDS
            self._slow_start_at = now

    def _slow_start_share(self, now: float) -> float:
        share = (now - self._slow_start_at) / SLOW_START_SECONDS
        return 1 if share >= 1 else max(SLOW_START_MIN_SHARE, share)
