"""Estimate of the load on a replica."""

from typing import Final

REPORT_TTL_SECONDS: Final = 1.0  # age at which a load report has no weight
# Time without an answer from the replica after which its reports have no
# weight.
ANSWER_TTL_SECONDS: Final = 5.0
MEAN_WEIGHT: Final = 0.05  # of a new sample of the own attempts in flight
TRUST_DECAY: Final = 0.7  # factor for each contradicted report
TRUST_RECOVERY: Final = 0.05  # share of the missing trust regained per answer
IDLE_LOAD: Final = 1.0  # up to this reported load no request waits for a slot
BUSY_LOAD: Final = 2.0  # reported load from which a fast answer contradicts it
SLOW_FACTOR: Final = 3.0  # times the fastest latency
FAST_FACTOR: Final = 1.5  # times the fastest latency

_NONE: Final = float(0)


class LoadEstimate:
    """Attempts of this instance at a replica, and the load it reports.

    A report loses weight with its age, with the time since the replica's last
    answer, and with each answer whose latency contradicts it.
    """

    __slots__ = (
        '_mean_in_flight',
        '_others',
        '_reported',
        '_reported_at',
        '_trust',
        'in_flight',
    )  # fmt: skip

    def __init__(self, now: float) -> None:
        self.in_flight = 0  # attempts of this instance
        self._mean_in_flight = _NONE
        self._others = _NONE  # requests of others, from the last report
        self._reported = _NONE  # requests held, divided by slots
        self._reported_at = now - REPORT_TTL_SECONDS
        self._trust = 1.0  # 0 to 1

    def held(self, answered_at: float, peers: int, now: float) -> float:
        """Return the estimated number of requests that the replica holds.

        Without a trusted report, each of the `peers` is assumed to hold as
        many requests there as this instance does on average.
        """
        freshness = 1 - (now - self._reported_at) / REPORT_TTL_SECONDS
        confirmation = 1 - (now - answered_at) / ANSWER_TTL_SECONDS
        prior = self._mean_in_flight * peers
        if freshness <= 0 or confirmation <= 0:
            return self.in_flight + prior
        weight = freshness * confirmation * self._trust
        return self.in_flight + prior + weight * (self._others - prior)

    def record_sent(self) -> None:
        """Count an attempt that starts."""
        self.in_flight += 1
        self._mean_in_flight += MEAN_WEIGHT * (
            self.in_flight - self._mean_in_flight
        )

    def record_done(self) -> None:
        """Count an attempt that ended."""
        if self.in_flight:
            self.in_flight -= 1

    def record_report(self, load: float, slots: int, now: float) -> None:
        """Record a load report."""
        self._reported = load
        self._reported_at = now
        self._others = max(_NONE, load * slots - self.in_flight)

    def record_latency(
        self, latency: float, fastest: float, now: float
    ) -> None:
        """Adjust the trust in reports by the latency of an answer.

        An answer that is slow under a low reported load, or fast under a high
        one, contradicts the last report.
        """
        if now - self._reported_at >= REPORT_TTL_SECONDS:
            return
        is_contradicted = False
        if self._reported <= IDLE_LOAD:
            is_contradicted = latency > SLOW_FACTOR * fastest
        elif self._reported >= BUSY_LOAD:
            is_contradicted = latency < FAST_FACTOR * fastest
        if is_contradicted:
            self._trust *= TRUST_DECAY
        else:
            self._trust += TRUST_RECOVERY * (1 - self._trust)
