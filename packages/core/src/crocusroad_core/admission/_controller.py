"""Admission control of one instance."""

from returns.result import Failure, Result, Success

from crocusroad_core.admission._decaying_peak import DecayingPeak
from crocusroad_core.admission._limit import ConcurrencyLimit
from crocusroad_core.admission._live_instances import LiveInstanceCount
from crocusroad_core.admission._quantile import DecayingQuantile
from crocusroad_core.admission._ticket import Ticket
from crocusroad_core.admission._token_bucket import TokenBucket
from crocusroad_core.fronts import Caller, Front, RequestKind
from crocusroad_core.refusals import Refusal, refuse
from crocusroad_wire import ProblemKind

FAST_QUANTILE = 0.1
RETRY_AFTER_SECONDS = 1.0


class AdmissionController:
    """Admits or refuses requests and tracks those in flight.

    A request is checked against its deadline, the limit of its kind, the
    adaptive concurrency limit and the rate of its caller, in this order.
    Under load, capacity is reserved for request kinds of higher worth.
    """

    def __init__(
        self, limit: ConcurrencyLimit, live_instances: LiveInstanceCount
    ) -> None:
        self._limit = limit
        self._live_instances = live_instances
        self._serial = 0
        self._in_flight: dict[int, Ticket] = {}
        self._by_kind: dict[tuple[str, str], int] = {}
        self._by_worth: dict[float, int] = {}
        self._peaks: dict[float, DecayingPeak] = {}
        self._buckets: dict[tuple[str, str], TokenBucket] = {}
        self._fast_quantiles: dict[str, DecayingQuantile] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._in_flight)

    @property
    def limit(self) -> float:
        """Return the number of requests that may be in flight."""
        return self._limit.limit

    def admit(
        self,
        front: Front,
        caller: Caller,
        kind: RequestKind,
        time_left: float,
        now: float,
    ) -> Result[Ticket, Refusal]:
        """Admit a request, or return why it is refused.

        Args:
            front: The front that the request addresses.
            caller: The caller that sent it.
            kind: Its request kind.
            time_left: Seconds until its deadline.
            now: The present time.
        """
        refusal = (
            self._check_deadline(front, kind, time_left, now)
            or self._check_kind(front, kind)
            or self._check_load(kind, now)
            or self._check_caller(front, caller, now)
        )
        if refusal is not None:
            return Failure(refusal)
        return Success(self._issue_ticket(front, kind, now))

    def release(self, ticket: Ticket, now: float, *, is_sample: bool) -> None:
        """End an admitted request; a second release of a ticket is ignored.

        Args:
            ticket: The ticket that `admit` returned.
            now: The present time.
            is_sample: Whether the duration is a sample of the load: True for
                an answer and for a missed deadline, False for a caller that
                hung up and for an error.
        """
        if self._in_flight.pop(ticket.serial, None) is None:
            return
        self._by_kind[ticket.front, ticket.kind] -= 1
        self._by_worth[ticket.worth] -= 1
        if is_sample:
            key = _key(ticket.front, ticket.kind)
            seconds = now - ticket.admitted_at
            self._fast_quantile(key).observe(seconds, now)
            self._limit.on_answer(key, seconds, self.in_flight + 1, now)

    def on_lag(self, seconds: float, now: float) -> None:
        """Adjust the limit to a measured lag of the event loop."""
        self._limit.on_lag(seconds, now)

    def _issue_ticket(
        self, front: Front, kind: RequestKind, now: float
    ) -> Ticket:
        self._serial += 1
        ticket = Ticket(self._serial, front.name, kind.name, kind.worth, now)
        self._in_flight[ticket.serial] = ticket
        key = (front.name, kind.name)
        self._by_kind[key] = self._by_kind.get(key, 0) + 1
        self._by_worth[kind.worth] = self._by_worth.get(kind.worth, 0) + 1
        return ticket

    def _check_deadline(
        self,
        front: Front,
        kind: RequestKind,
        time_left: float,
        now: float,
    ) -> Refusal | None:
        expected = self._fast_quantile(_key(front.name, kind.name)).value(now)
        if time_left > 0 and time_left >= expected:
            return None
        return refuse(
            ProblemKind.deadline_too_short,
            f'{time_left:.3f} s left; fast requests take {expected:.3f} s',
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _check_kind(self, front: Front, kind: RequestKind) -> Refusal | None:
        in_flight = self._by_kind.get((front.name, kind.name), 0)
        if in_flight < kind.max_in_flight:
            return None
        return refuse(
            ProblemKind.kind_limit,
            f'{in_flight} requests of kind {kind.name!r} are in flight',
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _check_load(self, kind: RequestKind, now: float) -> Refusal | None:
        self._record_demand(kind.worth, now)
        if self.in_flight + self._reserved(kind.worth, now) < self.limit:
            return None
        return refuse(
            ProblemKind.overloaded,
            f'{self.in_flight} requests are in flight, limit {self.limit:.0f}',
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _record_demand(self, worth: float, now: float) -> None:
        self._peaks.setdefault(worth, DecayingPeak())
        for level, peak in self._peaks.items():
            if level <= worth:
                peak.observe(self._in_flight_from(level) + 1, now)

    def _reserved(self, worth: float, now: float) -> float:
        higher = [level for level in self._peaks if level > worth]
        if not higher:
            return 0
        level = min(higher)
        peak = self._peaks[level].peak(now)
        return max(0, peak - self._in_flight_from(level))

    def _in_flight_from(self, level: float) -> int:
        counts = self._by_worth.items()
        return sum(count for worth, count in counts if worth >= level)

    def _check_caller(
        self,
        front: Front,
        caller: Caller,
        now: float,
    ) -> Refusal | None:
        rate = self._live_instances.share_of(caller.rate, now)
        key = (front.name, caller.name)
        bucket = self._buckets.setdefault(key, TokenBucket(rate, now))
        bucket.set_rate(rate, now)
        if bucket.take(now):
            return None
        return refuse(
            ProblemKind.caller_limit,
            f'caller {caller.name!r} exceeds {rate:.1f} requests/s here',
            retry_after=bucket.seconds_until_token(now),
        )

    def _fast_quantile(self, key: str) -> DecayingQuantile:
        return self._fast_quantiles.setdefault(
            key, DecayingQuantile(FAST_QUANTILE)
        )


def _key(front: str, kind: str) -> str:
    return f'{front}/{kind}'
