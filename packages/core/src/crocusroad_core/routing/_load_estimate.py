"""What is known of the load on a replica."""

from typing import Final

LOAD_SECONDS: Final = 1.0  # age at which a load report says nothing more
PROOF_SECONDS: Final = 5.0  # without an answer, reports prove nothing
MEAN_WEIGHT: Final = 0.05  # of a new sample of the own in-flight work
TRUST_LOSS: Final = 0.7
TRUST_GAIN: Final = 0.05
IDLE_LOAD: Final = 1.0  # reported load up to which nothing waits
BUSY_LOAD: Final = 2.0
SLOW_FACTOR: Final = 3.0
FAST_FACTOR: Final = 1.5

_NONE: Final = float(0)


class LoadView:
    """Own work on a replica, and that of others as it reports it.

    A report loses weight with age, with the time since an answer last bore
    it out, and with each answer that contradicts it.
    """

    __slots__ = (
        '_mean',
        '_others',
        '_reported',
        '_reported_at',
        '_trust',
        'in_flight',
    )  # fmt: skip

    def __init__(self, now: float) -> None:
        self.in_flight = 0  # own attempts
        self._mean = _NONE  # of the own attempts in flight
        self._others = _NONE  # requests of others, by the last report
        self._reported = _NONE  # requests held over slots
        self._reported_at = now - LOAD_SECONDS
        self._trust = 1.0  # 0 to 1

    def held(self, answered_at: float, peers: int, now: float) -> float:
        """Return the requests that the replica is estimated to hold.

        Without a report to trust, each of the `peers` is taken to hold as
        much as this instance does on average.
        """
        fresh = 1 - (now - self._reported_at) / LOAD_SECONDS
        shown = 1 - (now - answered_at) / PROOF_SECONDS
        guess = self._mean * peers
        if fresh <= 0 or shown <= 0:
            return self.in_flight + guess
        weight = fresh * shown * self._trust
        return self.in_flight + guess + weight * (self._others - guess)

    def take_sent(self) -> None:
        """Count an attempt that starts."""
        self.in_flight += 1
        self._mean += MEAN_WEIGHT * (self.in_flight - self._mean)

    def take_done(self) -> None:
        """Count an attempt that ended."""
        if self.in_flight:
            self.in_flight -= 1

    def take_report(self, load: float, slots: int, now: float) -> None:
        """Take a load report."""
        self._reported = load
        self._reported_at = now
        self._others = max(_NONE, load * slots - self.in_flight)

    def take_latency(self, latency: float, fastest: float, now: float) -> None:
        """Weigh the last report by the latency of an answer."""
        if now - self._reported_at >= LOAD_SECONDS:
            return
        is_contradicted = False
        if self._reported <= IDLE_LOAD:
            is_contradicted = latency > SLOW_FACTOR * fastest
        elif self._reported >= BUSY_LOAD:
            is_contradicted = latency < FAST_FACTOR * fastest
        if is_contradicted:
            self._trust *= TRUST_LOSS
        else:
            self._trust += TRUST_GAIN * (1 - self._trust)
